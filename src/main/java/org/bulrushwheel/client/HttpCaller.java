package org.bulrushwheel.client;

import java.net.URI;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * Blocking HTTP/1.1 client with fixed time-outs, which keeps its connections.
 *
 * <p>Invariants: a call ends within its time-out and keeps a response of limited length, whatever is sent; a response that
 * is malformed or incomplete is none; only calls that change nothing are sent again, once, when a kept connection was closed.
 * Thread safe.
 */
public final class HttpCaller {
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    // The longest document that any interface accepts.
    private static final int MAX_BODY_BYTES = 64 * 1024 * 1024;
    private static final Set<String> REPEATABLE_METHODS = Set.of("GET", "HEAD");
    // Its thread does not keep the process alive.
    private static final EventLoopGroup LOOPS = new MultiThreadIoEventLoopGroup(
            1, new DefaultThreadFactory("http-caller", true), NioIoHandler.newFactory());

    private final Map<String, Deque<CallConnection>> keptByAuthority = new ConcurrentHashMap<>();

    /**
     * Sends a request and waits for the response.
     *
     * @param method HTTP method
     * @param address IP:PORT
     * @param path path and query string
     * @param headers request headers
     * @param body request body; an empty array sends none
     * @return the response; its status is 0 if none was received
     */
    public HttpAnswer call(String method, String address, String path, Map<String, String> headers, byte[] body) {
        URI uri = URI.create("http://" + address + path);
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        Optional<CallConnection> kept = takeKept(uri);
        try {
            if (kept.isPresent()) {
                try {
                    return await(kept.get(), request(method, uri, headers, body), deadlineNanos);
                } catch (ExecutionException e) {
                    boolean repeatable = REPEATABLE_METHODS.contains(method);
                    if (!repeatable || !(e.getCause() instanceof KeptConnectionClosedException)) {
                        throw e;
                    }
                }
            }
            return await(connect(uri, deadlineNanos), request(method, uri, headers, body), deadlineNanos);
        } catch (ExecutionException e) {
            return HttpAnswer.none(String.valueOf(e.getCause()));
        } catch (TimeoutException e) {
            return HttpAnswer.none("no complete response within " + TIMEOUT_MILLIS + " ms");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return HttpAnswer.none("interrupted");
        }
    }

    /** Sends a GET request without headers or body. */
    public HttpAnswer get(String address, String path) {
        return call("GET", address, path, Map.of(), new byte[0]);
    }

    private static FullHttpRequest request(String method, URI uri, Map<String, String> headers, byte[] body) {
        String path = uri.getRawPath().isEmpty() ? "/" : uri.getRawPath();
        String target = uri.getRawQuery() == null ? path : path + "?" + uri.getRawQuery();
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), target, Unpooled.wrappedBuffer(body));
        request.headers().set(HttpHeaderNames.HOST, uri.getRawAuthority());
        if (body.length > 0 || !REPEATABLE_METHODS.contains(method)) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        headers.forEach((name, value) -> request.headers().set(name, value.strip()));
        return request;
    }

    private static HttpAnswer await(CallConnection connection, FullHttpRequest request, long deadlineNanos)
            throws ExecutionException, TimeoutException, InterruptedException {
        CompletableFuture<HttpAnswer> answer = new CompletableFuture<>();
        connection.send(request, answer);
        try {
            return answer.get(deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException | InterruptedException e) {
            connection.close();
            throw e;
        }
    }

    private Optional<CallConnection> takeKept(URI uri) {
        Deque<CallConnection> kept = keptTo(uri);
        CallConnection connection = kept.poll();
        while (connection != null && !connection.isOpen()) {
            connection = kept.poll();
        }
        return Optional.ofNullable(connection);
    }

    private Deque<CallConnection> keptTo(URI uri) {
        return keptByAuthority.computeIfAbsent(uri.getRawAuthority(), authority -> new ConcurrentLinkedDeque<>());
    }

    private CallConnection connect(URI uri, long deadlineNanos)
            throws ExecutionException, TimeoutException, InterruptedException {
        CompletableFuture<CallConnection> connection = new CompletableFuture<>();
        new Bootstrap()
                .group(LOOPS)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        new CallConnection(
                                channel, MAX_BODY_BYTES, idle -> keptTo(uri).push(idle));
                    }
                })
                .connect(uri.getHost(), uri.getPort())
                .addListener((ChannelFutureListener) opened -> onOpened(opened, connection));
        return connection.get(deadlineNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
    }

    private static void onOpened(ChannelFuture opened, CompletableFuture<CallConnection> connection) {
        if (opened.isSuccess()) {
            connection.complete(opened.channel().pipeline().get(CallConnection.class));
        } else {
            connection.completeExceptionally(opened.cause());
        }
    }
}
