package org.dewreach.net;

/** Limits of the lines and headers of HTTP messages, the same for servers and clients. */
final class HttpLimits {
  /** Characters of the first line. */
  static final int MAX_INITIAL_LINE_CHARS = 2048;

  /** Characters of all headers together. */
  static final int MAX_HEADER_CHARS = 4096;

  /** Bytes of a chunk of the body. */
  static final int MAX_CHUNK_BYTES = 8192;

  private HttpLimits() {}
}
