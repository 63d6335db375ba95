package org.dewreach.net;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.dewreach.config.Settings;

/**
 * An HTTP client with a bounded number of connections per host and in total.
 *
 * <p>Idle connections are reused, closed after a timeout, and closed earlier if the total limit is
 * reached and a call to another host needs a connection: hundreds of machines come and go, and a
 * machine that disappears without closing its connections leaves half-open ones, which nothing else
 * would ever close.
 *
 * <p>Not thread-safe: for use on the event loop only. Each call has exactly one outcome, at the
 * latest at its timeout. A timeout closes the connection, because a late response could otherwise
 * be mistaken for the response to the next call.
 */
public final class HttpClient {
  /**
   * Far above the size of any valid response; watch responses and machine lists are the longest.
   */
  private static final int MAX_RESPONSE_BODY_BYTES = 8 * 1024 * 1024;

  /**
   * Enough for all user requests in progress, each of which waits for one call at a time, and for
   * the calls that the controller itself makes.
   */
  private static final int MAX_QUEUED_CALLS_PER_HOST = 500;

  private static final int CONNECT_TIMEOUT_MS = 3_000;

  /** The time after which a connection without a call is closed. */
  private static final long IDLE_CONNECTION_TIMEOUT_MICROS = 30_000_000;

  private static final long IDLE_CHECK_INTERVAL_MICROS = 5_000_000;

  /** Receives the outcome of a call. */
  @FunctionalInterface
  public interface ResponseHandler {
    /**
     * Called exactly once per call.
     *
     * @param status the HTTP status, or 0 if no response was received
     * @param body the decoded body, or null if it is empty or cannot be decoded
     */
    void onResponse(int status, JsonNode body);
  }

  private final EventLoopGroup loop;
  private final int maxConnectionsPerHost;
  private final int maxConnections;
  private final Map<Settings.Address, Pool> pools = new HashMap<>();

  /** Connections without a call, the longest idle first. */
  private final Set<Connection> idleConnections = new LinkedHashSet<>();

  private int openCount;
  private boolean idleCheckScheduled;

  /**
   * Creates a client.
   *
   * @param maxConnectionsPerHost the maximum number of connections to one host; further calls to it
   *     are queued
   * @param maxConnections the maximum number of connections to all hosts; when all are in use, a
   *     call to a host without a connection fails at once, with status 0
   */
  public HttpClient(EventLoopGroup loop, int maxConnectionsPerHost, int maxConnections) {
    this.loop = loop;
    this.maxConnectionsPerHost = maxConnectionsPerHost;
    this.maxConnections = maxConnections;
  }

  /** Sends a request; the handler is called later, on the event loop. */
  public void call(
      Settings.Address address,
      BodyFormat format,
      String method,
      String path,
      JsonNode body,
      long timeoutMicros,
      ResponseHandler handler) {
    Call call = new Call(format, method, path, body, handler);
    Pool pool = pools.computeIfAbsent(address, Pool::new);
    call.timer = loop.schedule(() -> pool.onTimeout(call), timeoutMicros, TimeUnit.MICROSECONDS);
    pool.submit(call);
    if (!idleCheckScheduled) {
      idleCheckScheduled = true;
      loop.schedule(
          this::closeTimedOutConnections, IDLE_CHECK_INTERVAL_MICROS, TimeUnit.MICROSECONDS);
    }
  }

  /** Closes connections that were idle for too long, and removes the pools of unused hosts. */
  private void closeTimedOutConnections() {
    long now = System.nanoTime();
    for (Connection connection : List.copyOf(idleConnections)) {
      if (now - connection.idleSinceNanos
          < TimeUnit.MICROSECONDS.toNanos(IDLE_CONNECTION_TIMEOUT_MICROS)) {
        break;
      }
      connection.close();
    }
    pools.values().removeIf(Pool::isUnused);
    idleCheckScheduled = !pools.isEmpty();
    if (idleCheckScheduled) {
      loop.schedule(
          this::closeTimedOutConnections, IDLE_CHECK_INTERVAL_MICROS, TimeUnit.MICROSECONDS);
    }
  }

  /**
   * True if one more connection may be opened; if the limit is reached, the longest idle connection
   * is closed for it.
   */
  private boolean ensureCapacity() {
    if (openCount >= maxConnections && !idleConnections.isEmpty()) {
      idleConnections.iterator().next().close();
    }
    return openCount < maxConnections;
  }

  int openConnections() {
    return openCount;
  }

  /** Sets up the handlers of one connection. */
  private static final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
    private final Connection connection;

    ConnectionInitializer(Connection connection) {
      this.connection = connection;
    }

    @Override
    protected void initChannel(SocketChannel channel) {
      channel
          .pipeline()
          .addLast(
              new HttpClientCodec(
                  HttpLimits.MAX_INITIAL_LINE_CHARS,
                  HttpLimits.MAX_HEADER_CHARS,
                  HttpLimits.MAX_CHUNK_BYTES))
          .addLast(new HttpObjectAggregator(MAX_RESPONSE_BODY_BYTES))
          .addLast(connection);
    }
  }

  /** A call, queued, in progress or completed. */
  private static final class Call {
    final BodyFormat format;
    final String method;
    final String path;
    final JsonNode body;
    final ResponseHandler handler;
    ScheduledFuture<?> timer;
    Connection connection;
    boolean completed;

    Call(BodyFormat format, String method, String path, JsonNode body, ResponseHandler handler) {
      this.format = format;
      this.method = method;
      this.path = path;
      this.body = body;
      this.handler = handler;
    }

    void complete(int status, JsonNode response) {
      if (!completed) {
        completed = true;
        timer.cancel(false);
        handler.onResponse(status, response);
      }
    }
  }

  /** The connections and queued calls to one host. */
  private final class Pool {
    final Settings.Address address;
    final Deque<Connection> idleOfHost = new ArrayDeque<>();
    final Deque<Call> queuedCalls = new ArrayDeque<>();
    int connectionCount;

    Pool(Settings.Address address) {
      this.address = address;
    }

    boolean isUnused() {
      return connectionCount == 0 && queuedCalls.isEmpty();
    }

    void submit(Call call) {
      Connection connection = idleOfHost.pollLast();
      if (connection != null) {
        idleConnections.remove(connection);
        connection.send(call);
      } else if (connectionCount < maxConnectionsPerHost && ensureCapacity()) {
        connectionCount++;
        openCount++;
        connect(call);
      } else if (connectionCount > 0 && queuedCalls.size() < MAX_QUEUED_CALLS_PER_HOST) {
        queuedCalls.add(call);
      } else {
        // Completed later, not from within call(): the handler would run in the middle of its
        // caller.
        loop.execute(() -> call.complete(0, null));
      }
    }

    void connect(Call call) {
      Connection connection = new Connection(this);
      connection.currentCall = call;
      call.connection = connection;
      Bootstrap bootstrap =
          new Bootstrap()
              .group(loop)
              .channel(NioSocketChannel.class)
              .option(ChannelOption.ALLOCATOR, new UnpooledByteBufAllocator(false))
              .option(ChannelOption.TCP_NODELAY, true)
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
              .handler(new ConnectionInitializer(connection));
      ChannelFuture future = bootstrap.connect(address.host(), address.port());
      connection.channel = future.channel();
      connection.channel.closeFuture().addListener(ignored -> connection.onClosed());
      future.addListener(
          connected -> {
            if (connected.isSuccess() && !call.completed) {
              connection.send(call);
            } else if (connected.isSuccess()) {
              connection.release();
            }
          });
    }

    void onTimeout(Call call) {
      queuedCalls.remove(call);
      if (call.connection != null) {
        call.connection.close();
      }
      call.complete(0, null);
    }

    void onReleased(Connection connection) {
      Call next = queuedCalls.poll();
      if (next != null) {
        connection.send(next);
      } else {
        idleOfHost.addLast(connection);
        idleConnections.add(connection);
        connection.idleSinceNanos = System.nanoTime();
      }
    }

    void onClosed(Connection connection) {
      connectionCount--;
      openCount--;
      idleOfHost.remove(connection);
      idleConnections.remove(connection);
      Call next = queuedCalls.poll();
      if (next != null) {
        submit(next);
      }
    }
  }

  /** A connection, with at most one call in progress. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final Pool pool;
    private Channel channel;
    private Call currentCall;
    private boolean closed;
    private long idleSinceNanos;

    Connection(Pool pool) {
      this.pool = pool;
    }

    void send(Call call) {
      currentCall = call;
      call.connection = this;
      byte[] content = call.format.encode(call.body);
      FullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1,
              HttpMethod.valueOf(call.method),
              call.path,
              Unpooled.wrappedBuffer(content));
      request.headers().set(HttpHeaderNames.HOST, pool.address.toString());
      request.headers().set(HttpHeaderNames.CONTENT_TYPE, call.format.mediaType());
      HttpUtil.setContentLength(request, content.length);
      channel.writeAndFlush(request);
    }

    void release() {
      currentCall = null;
      if (closed) {
        return;
      }
      if (channel.isActive()) {
        pool.onReleased(this);
      } else {
        close();
      }
    }

    void close() {
      if (channel != null) {
        channel.close();
      }
    }

    void onClosed() {
      if (closed) {
        return;
      }
      closed = true;
      Call call = currentCall;
      currentCall = null;
      pool.onClosed(this);
      if (call != null) {
        call.complete(0, null);
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      Call call = currentCall;
      if (call == null) {
        close();
        return;
      }
      JsonNode body = call.format.decodeOrNull(ByteBufUtil.getBytes(response.content()));
      int status = response.status().code();
      if (HttpUtil.isKeepAlive(response)) {
        release();
      } else {
        currentCall = null;
        close();
      }
      call.complete(status, body);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
