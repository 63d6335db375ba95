"""CBOR for the bodies of the protocol: maps with text keys, lists, text, numbers, booleans, null."""

import struct


def _head(major, value):
    for size, code, form in ((24, None, None), (1 << 8, 24, ">B"), (1 << 16, 25, ">H"),
                             (1 << 32, 26, ">I"), (1 << 64, 27, ">Q")):
        if value < size:
            if code is None:
                return bytes([major << 5 | value])
            return bytes([major << 5 | code]) + struct.pack(form, value)
    raise ValueError("integer too large")


def dumps(value):
    """Encodes a value."""
    if value is None:
        return b"\xf6"
    if value is True:
        return b"\xf5"
    if value is False:
        return b"\xf4"
    if isinstance(value, int):
        return _head(0, value) if value >= 0 else _head(1, -1 - value)
    if isinstance(value, float):
        return b"\xfb" + struct.pack(">d", value)
    if isinstance(value, str):
        raw = value.encode()
        return _head(3, len(raw)) + raw
    if isinstance(value, (list, tuple)):
        return _head(4, len(value)) + b"".join(dumps(item) for item in value)
    if isinstance(value, dict):
        return _head(5, len(value)) + b"".join(
            dumps(key) + dumps(item) for key, item in value.items())
    raise TypeError(type(value))


class _Reader:
    def __init__(self, raw):
        self.raw = raw
        self.at = 0

    def take(self, count):
        part = self.raw[self.at:self.at + count]
        if len(part) < count:
            raise ValueError("truncated")
        self.at += count
        return part

    def value(self):
        first = self.take(1)[0]
        major, info = first >> 5, first & 31
        if major == 7:
            return self.simple(info)
        if info == 31:
            return self.indefinite(major)
        length = info
        if info >= 24:
            length = int.from_bytes(self.take(1 << (info - 24)), "big")
        if major == 0:
            return length
        if major == 1:
            return -1 - length
        if major == 2:
            return self.take(length)
        if major == 3:
            return self.take(length).decode()
        if major == 4:
            return [self.value() for _ in range(length)]
        if major == 5:
            return {self.value(): self.value() for _ in range(length)}
        return self.value()

    def simple(self, info):
        if info == 25:
            return struct.unpack(">e", self.take(2))[0]
        if info == 26:
            return struct.unpack(">f", self.take(4))[0]
        if info == 27:
            return struct.unpack(">d", self.take(8))[0]
        return {20: False, 21: True}.get(info)

    def indefinite(self, major):
        items = []
        while self.raw[self.at] != 0xFF:
            items.append(self.value())
        self.at += 1
        if major == 4:
            return items
        if major == 5:
            return dict(zip(items[0::2], items[1::2]))
        return (b"" if major == 2 else "").join(items)


def loads(raw):
    """Decodes a value; None if there is no body."""
    return _Reader(raw).value() if raw else None
