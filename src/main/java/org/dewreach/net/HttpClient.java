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
 * Calls other hosts, with a bounded number of connections to each and to all of them.
 *
 * <p>A connection is kept for the next call, but not for long, and it makes way for one to another
 * host when there are too many: machines come and go by the hundred, and those that vanish without
 * a word leave connections that nothing else would ever close.
 *
 * <p>Used on the event loop only. Every call ends with exactly one outcome, at the latest when its
 * time is up; the connection is then closed, since its answer could be taken for another's.
 */
public final class HttpClient {
  /** Watches and machine lists may be long; far above anything these services are to send. */
  private static final int MAX_RESPONSE_BODY_BYTES = 8 * 1024 * 1024;

  /** Users' requests in progress, each of which waits for one call at a time, and our own. */
  private static final int MAX_QUEUED_CALLS_PER_HOST = 500;

  private static final int CONNECT_TIMEOUT_MS = 3_000;

  /** How long a connection is kept without a call. */
  private static final long IDLE_CONNECTION_TIMEOUT_MICROS = 30_000_000;

  private static final long IDLE_CHECK_INTERVAL_MICROS = 5_000_000;

  /** Takes the outcome of a call; status 0 if no response came. */
  @FunctionalInterface
  public interface ResponseHandler {
    /** Called once per call. */
    void onResponse(int status, JsonNode body);
  }

  private final EventLoopGroup loop;
  private final int maxConnectionsPerHost;
  private final int maxConnections;
  private final Map<Settings.Address, Pool> pools = new HashMap<>();

  /** Connections without a call, the one that has been so for longest first. */
  private final Set<Connection> idleConnections = new LinkedHashSet<>();

  private int openCount;
  private boolean idleCheckScheduled;

  /**
   * A client.
   *
   * @param maxOpen connections to all hosts; a call beyond them ends without an answer at once
   */
  public HttpClient(EventLoopGroup loop, int maxPerHost, int maxOpen) {
    this.loop = loop;
    this.maxConnectionsPerHost = maxPerHost;
    this.maxConnections = maxOpen;
  }

  /** Sends a request; the outcome comes later, on the event loop. */
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

  /** Closes what has been idle for long, and forgets hosts without connections. */
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

  /** True if one more may be opened, for which the longest idle one makes way. */
  private boolean ensureCapacity() {
    if (openCount >= maxConnections && !idleConnections.isEmpty()) {
      idleConnections.iterator().next().close();
    }
    return openCount < maxConnections;
  }

  int openConnections() {
    return openCount;
  }

  /** Decodes responses for one connection. */
  private static final class ResponsePipeline extends ChannelInitializer<SocketChannel> {
    private final Connection connection;

    ResponsePipeline(Connection connection) {
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

  /** A call that has no outcome yet, or had one. */
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

    void complete(int status, JsonNode answer) {
      if (!completed) {
        completed = true;
        timer.cancel(false);
        handler.onResponse(status, answer);
      }
    }
  }

  /** The connections to one host. */
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
        // Not at once: the caller may be in the middle of its own work.
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
              .handler(new ResponsePipeline(connection));
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

  /** One connection; at most one call is on it. */
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
