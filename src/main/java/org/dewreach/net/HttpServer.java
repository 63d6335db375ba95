package org.dewreach.net;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.ReadTimeoutHandler;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.dewreach.config.Settings;
import org.dewreach.wire.HttpStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An HTTP server for one address. Requests on a connection are answered in order; none is
 * pipelined.
 */
public final class HttpServer {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);

  /** A longer request body is rejected as malformed. */
  private static final int MAX_REQUEST_BODY_BYTES = 64 * 1024;

  /**
   * A connection on which nothing is received for this long is closed as dead: users poll about
   * every 5 s, and workers send heartbeats more often.
   */
  private static final int READ_TIMEOUT_S = 90;

  /**
   * The idle time after which a connection may be closed in favor of a new one when the server has
   * reached its connection limit. Users poll about every 5 s, so the client of one that was idle
   * for this long may be gone.
   */
  static final long EVICTABLE_IDLE_MICROS = 12_000_000;

  /** Handles requests. */
  @FunctionalInterface
  public interface Handler {
    /**
     * Called once per request, on the event loop. The response may be sent before or after this
     * method returns.
     *
     * @param body the decoded body; null if there was none or it could not be decoded
     */
    void onRequest(String method, String path, JsonNode body, ResponseSender responseSender);
  }

  /** Sends the response to one request. */
  @FunctionalInterface
  public interface ResponseSender {
    /**
     * Sends the response, on the event loop.
     *
     * @param retryAfterS the value of the Retry-After header, or 0 for no header
     */
    void send(int status, JsonNode body, int retryAfterS);
  }

  private final BodyFormat format;
  private final Handler handler;
  private final int maxConnections;
  private final long evictableIdleNanos;
  private int connections;

  /** Connections without a request in progress, the longest idle first. */
  private final Set<ClientConnection> idleConnections = new LinkedHashSet<>();

  /** Creates a server whose connections may be evicted after {@link #EVICTABLE_IDLE_MICROS}. */
  public HttpServer(BodyFormat format, Handler handler, int maxConnections) {
    this(format, handler, maxConnections, EVICTABLE_IDLE_MICROS);
  }

  /**
   * Creates a server.
   *
   * @param evictableIdleMicros the idle time after which a connection may be closed in favor of a
   *     new one when the connection limit is reached
   */
  public HttpServer(
      BodyFormat format, Handler handler, int maxConnections, long evictableIdleMicros) {
    this.format = format;
    this.handler = handler;
    this.maxConnections = maxConnections;
    this.evictableIdleNanos = TimeUnit.MICROSECONDS.toNanos(evictableIdleMicros);
  }

  /** Starts listening; throws an exception if the address cannot be bound. */
  public Channel listen(EventLoopGroup loop, Settings.Address address) throws InterruptedException {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            // After a change of leader all workers connect at once.
            .option(ChannelOption.SO_BACKLOG, maxConnections)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false))
            .childOption(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false))
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    accept(channel);
                  }
                });
    return bootstrap.bind(address.host(), address.port()).sync().channel();
  }

  private void accept(SocketChannel channel) {
    if (connections >= maxConnections && !evictLongestIdle()) {
      // The rest of the machine's connection limit is for calls to workers, the key-value store
      // and the cloud.
      channel.close();
      return;
    }
    ClientConnection connection = new ClientConnection(channel);
    connections++;
    connection.markIdle();
    channel
        .closeFuture()
        .addListener(
            future -> {
              connections--;
              idleConnections.remove(connection);
            });
    channel
        .pipeline()
        .addLast(new ReadTimeoutHandler(READ_TIMEOUT_S, TimeUnit.SECONDS))
        .addLast(
            new HttpServerCodec(
                HttpLimits.MAX_INITIAL_LINE_CHARS,
                HttpLimits.MAX_HEADER_CHARS,
                HttpLimits.MAX_CHUNK_BYTES))
        .addLast(new RequestAggregator())
        .addLast(connection);
  }

  /**
   * Closes the connection that has been idle for longest, if that is longer than connections of
   * live users and workers are ever idle. Returns true if there is room for a new connection.
   *
   * <p>Guards against half-open and idle connections that use up the limit and lock out workers and
   * health checks.
   */
  private boolean evictLongestIdle() {
    if (idleConnections.isEmpty()) {
      return false;
    }
    ClientConnection longest = idleConnections.iterator().next();
    if (System.nanoTime() - longest.idleSinceNanos < evictableIdleNanos) {
      return false;
    }
    longest.channel.close();
    return connections < maxConnections;
  }

  /** Aggregates the parts of a request, and rejects a request that is too long. */
  private static final class RequestAggregator extends HttpObjectAggregator {
    RequestAggregator() {
      super(MAX_REQUEST_BODY_BYTES);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
      // The API specifies 400 (malformed) here, not 413 as is usual in HTTP.
      FullHttpResponse response = response(HttpResponseStatus.BAD_REQUEST, Unpooled.EMPTY_BUFFER);
      response.headers().set(HttpHeaderNames.CONNECTION, "close");
      context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }
  }

  private static FullHttpResponse response(HttpResponseStatus status, ByteBuf content) {
    FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
    HttpUtil.setContentLength(response, content.readableBytes());
    return response;
  }

  /** Handles the requests of one client connection. */
  private final class ClientConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Channel channel;
    private long idleSinceNanos;

    ClientConnection(Channel channel) {
      this.channel = channel;
    }

    /** Records that no request is in progress on this connection. */
    void markIdle() {
      idleSinceNanos = System.nanoTime();
      idleConnections.add(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      idleConnections.remove(this);
      boolean keepAlive = HttpUtil.isKeepAlive(request);
      if (request.decoderResult().isFailure()) {
        send(context, HttpStatus.BAD_REQUEST, null, 0, false);
        return;
      }
      JsonNode body = format.decodeOrNull(ByteBufUtil.getBytes(request.content()));
      handler.onRequest(
          request.method().name(),
          request.uri(),
          body,
          (status, response, retryAfterS) ->
              send(context, status, response, retryAfterS, keepAlive));
    }

    private void send(
        ChannelHandlerContext context,
        int status,
        JsonNode body,
        int retryAfterS,
        boolean keepAlive) {
      byte[] content = format.encode(body);
      FullHttpResponse response =
          response(HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(content));
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, format.mediaType());
      if (retryAfterS > 0) {
        response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfterS);
      }
      if (!keepAlive) {
        response.headers().set(HttpHeaderNames.CONNECTION, "close");
      }
      if (channel.isActive()) {
        markIdle();
      }
      var sent = context.writeAndFlush(response);
      if (!keepAlive) {
        sent.addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      LOG.debug("client connection failed: cause=\"{}\"", cause.toString());
      context.close();
    }
  }
}
