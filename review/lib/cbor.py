"""A small CBOR codec: maps with text keys, lists, text, numbers, booleans and null."""
import struct


def dumps(value):
    out = bytearray()
    _write(value, out)
    return bytes(out)


def _head(major, number, out):
    if number < 24:
        out.append(major << 5 | number)
    elif number < 1 << 8:
        out += struct.pack(">BB", major << 5 | 24, number)
    elif number < 1 << 16:
        out += struct.pack(">BH", major << 5 | 25, number)
    elif number < 1 << 32:
        out += struct.pack(">BI", major << 5 | 26, number)
    else:
        out += struct.pack(">BQ", major << 5 | 27, number)


def _write(value, out):
    if value is None:
        out.append(0xF6)
    elif value is True:
        out.append(0xF5)
    elif value is False:
        out.append(0xF4)
    elif isinstance(value, int):
        _head(0, value, out) if value >= 0 else _head(1, -1 - value, out)
    elif isinstance(value, float):
        out += struct.pack(">Bd", 0xFB, value)
    elif isinstance(value, str):
        data = value.encode()
        _head(3, len(data), out)
        out += data
    elif isinstance(value, (list, tuple)):
        _head(4, len(value), out)
        for item in value:
            _write(item, out)
    elif isinstance(value, dict):
        _head(5, len(value), out)
        for key, item in value.items():
            _write(key, out)
            _write(item, out)
    else:
        raise TypeError(type(value))


_BREAK = object()


def loads(data):
    value, at = _read(data, 0)
    if at != len(data):
        raise ValueError("trailing bytes")
    return value


def _read(data, at):
    first = data[at]
    major, info = first >> 5, first & 31
    at += 1
    if major == 7:
        if info in (20, 21):
            return info == 21, at
        if info in (22, 23):
            return None, at
        if info == 25:
            return struct.unpack(">e", data[at:at + 2])[0], at + 2
        if info == 26:
            return struct.unpack(">f", data[at:at + 4])[0], at + 4
        if info == 27:
            return struct.unpack(">d", data[at:at + 8])[0], at + 8
        if info == 31:
            return _BREAK, at
        raise ValueError("simple value %d" % info)
    if info < 24:
        number = info
    elif info <= 27:
        size = 1 << (info - 24)
        number = int.from_bytes(data[at:at + size], "big")
        at += size
    elif info == 31:
        number = None
    else:
        raise ValueError("length %d" % info)
    if major == 0:
        return number, at
    if major == 1:
        return -1 - number, at
    if major in (2, 3):
        if number is None:
            parts = []
            while True:
                part, at = _read(data, at)
                if part is _BREAK:
                    return "".join(parts), at
                parts.append(part)
        return data[at:at + number].decode(), at + number
    if major == 4:
        items = []
        while number is None or len(items) < number:
            item, at = _read(data, at)
            if item is _BREAK:
                break
            items.append(item)
        return items, at
    if major == 5:
        result = {}
        count = 0
        while number is None or count < number:
            key, at = _read(data, at)
            if key is _BREAK:
                break
            result[key], at = _read(data, at)
            count += 1
        return result, at
    return _read(data, at)  # a tag: its content alone
