package org.dewreach.net;

/** Size limits of HTTP messages for the codecs of servers and clients. */
final class HttpLimits {
  /** The maximum length of the request line or status line. */
  static final int MAX_INITIAL_LINE_CHARS = 2048;

  /** The maximum length of all headers together. */
  static final int MAX_HEADER_CHARS = 4096;

  /** The maximum size of a chunk of the body. */
  static final int MAX_CHUNK_BYTES = 8192;

  private HttpLimits() {}
}
