package org.dewreach.net;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.ServerBootstrap;
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

/** Serves one address. Requests on a connection are answered in order; none is pipelined. */
public final class HttpServer {
  private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);

  /** Bytes of a request's body; longer ones are malformed. */
  private static final int MAX_BODY = 64 * 1024;

  /** Users poll about every 5 s and workers report more often: silent for this long is gone. */
  private static final int IDLE_S = 90;

  /**
   * Users poll about every 5 s, so one that has been silent for this long may be gone. A default of
   * this project.
   */
  static final long SILENT_MICROS = 12_000_000;

  /** Takes requests; the answer may come at once or later, on the event loop. */
  @FunctionalInterface
  public interface Handler {
    /**
     * Called once per request.
     *
     * @param body the decoded body; null if there was none or it could not be decoded
     */
    void on(String method, String path, JsonNode body, Reply reply);
  }

  /** Sends the answer to one request. */
  @FunctionalInterface
  public interface Reply {
    /**
     * Answers the request.
     *
     * @param retryAfterS value of the Retry-After header, or 0 for none
     */
    void send(int status, JsonNode body, int retryAfterS);
  }

  private final Bodies bodies;
  private final Handler handler;
  private final int maxConnections;
  private final long silentNanos;
  private int connections;

  /** Connections without a request in progress, the one that has been so for longest first. */
  private final Set<Requests> idle = new LinkedHashSet<>();

  /** A server that lets a connection make way after the usual time. */
  public HttpServer(Bodies bodies, Handler handler, int maxConnections) {
    this(bodies, handler, maxConnections, SILENT_MICROS);
  }

  /**
   * A server.
   *
   * @param silentMicros when sockets run out, a connection that was silent for longer makes way
   */
  public HttpServer(Bodies bodies, Handler handler, int maxConnections, long silentMicros) {
    this.bodies = bodies;
    this.handler = handler;
    this.maxConnections = maxConnections;
    this.silentNanos = TimeUnit.MICROSECONDS.toNanos(silentMicros);
  }

  /** Starts listening; throws if the address cannot be had. */
  public Channel listen(EventLoopGroup loop, Settings.Address address) throws InterruptedException {
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            // After the end of a leader all workers come at once.
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
    if (connections >= maxConnections && !closeIdle()) {
      // Sockets are kept for calls to workers, the state service and the cloud.
      channel.close();
      return;
    }
    Requests requests = new Requests(channel);
    connections++;
    requests.rest();
    channel
        .closeFuture()
        .addListener(
            future -> {
              connections--;
              idle.remove(requests);
            });
    channel
        .pipeline()
        .addLast(new ReadTimeoutHandler(IDLE_S, TimeUnit.SECONDS))
        .addLast(
            new HttpServerCodec(
                HttpLimits.MAX_INITIAL_LINE, HttpLimits.MAX_HEADERS, HttpLimits.MAX_CHUNK))
        .addLast(new Aggregator())
        .addLast(requests);
  }

  /**
   * Closes the connection that has been silent for longest, if that is longer than users and
   * workers ever are. Guards against half-open and silent connections that keep others out.
   */
  private boolean closeIdle() {
    if (idle.isEmpty()) {
      return false;
    }
    Requests longest = idle.iterator().next();
    if (System.nanoTime() - longest.restingSinceNanos < silentNanos) {
      return false;
    }
    longest.channel.close();
    return connections < maxConnections;
  }

  /** Collects a request, and refuses one that is too long as the protocol has it. */
  private static final class Aggregator extends HttpObjectAggregator {
    Aggregator() {
      super(MAX_BODY);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
      // The protocol calls this malformed (400), where HTTP would say 413.
      FullHttpResponse response = plain(HttpResponseStatus.BAD_REQUEST, Unpooled.EMPTY_BUFFER);
      response.headers().set(HttpHeaderNames.CONNECTION, "close");
      context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }
  }

  private static FullHttpResponse plain(
      HttpResponseStatus status, io.netty.buffer.ByteBuf content) {
    FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
    HttpUtil.setContentLength(response, content.readableBytes());
    return response;
  }

  /** The requests of one connection. */
  private final class Requests extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Channel channel;
    private long restingSinceNanos;

    Requests(Channel channel) {
      this.channel = channel;
    }

    /** No request is in progress here. */
    void rest() {
      restingSinceNanos = System.nanoTime();
      idle.add(this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      idle.remove(this);
      boolean keepAlive = HttpUtil.isKeepAlive(request);
      if (request.decoderResult().isFailure()) {
        send(context, HttpStatus.BAD_REQUEST, null, 0, false);
        return;
      }
      JsonNode body = bodies.readOrNull(ByteBufUtil.getBytes(request.content()));
      handler.on(
          request.method().name(),
          request.uri(),
          body,
          (status, answer, retryAfterS) -> send(context, status, answer, retryAfterS, keepAlive));
    }

    private void send(
        ChannelHandlerContext context, int status, JsonNode body, int retryAfterS, boolean keep) {
      byte[] content = body == null ? new byte[0] : bodies.write(body);
      FullHttpResponse response =
          plain(HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(content));
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, bodies.mediaType());
      if (retryAfterS > 0) {
        response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfterS);
      }
      if (!keep) {
        response.headers().set(HttpHeaderNames.CONNECTION, "close");
      }
      if (channel.isActive()) {
        rest();
      }
      var sent = context.writeAndFlush(response);
      if (!keep) {
        sent.addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      LOG.debug("connection closed: {}", cause.toString());
      context.close();
    }
  }
}
