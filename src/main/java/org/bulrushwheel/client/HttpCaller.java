package org.bulrushwheel.client;

import java.net.URI;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import java.util.function.Supplier;

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
 * HTTP/1.1 client with fixed time-outs, which keeps its connections.
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
        CompletableFuture<HttpAnswer> answer = callAsync(method, address, path, headers, body);
        try {
            return answer.get();
        } catch (ExecutionException e) {
            return HttpAnswer.none(String.valueOf(e.getCause()));
        } catch (InterruptedException e) {
            answer.cancel(false);
            Thread.currentThread().interrupt();
            return HttpAnswer.none("interrupted");
        }
    }

    /**
     * Sends a request without waiting for the response.
     *
     * @param method HTTP method
     * @param address IP:PORT
     * @param path path and query string
     * @param headers request headers
     * @param body request body; an empty array sends none
     * @return completed with the response, or one of status 0 if none was received; never completed with an exception.
     *     Cancelling it closes the connection of the call. What depends on it must not block, since it may run on the event
     *     loop
     */
    public CompletableFuture<HttpAnswer> callAsync(
            String method, String address, String path, Map<String, String> headers, byte[] body) {
        URI uri = URI.create("http://" + address + path);
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        boolean repeatable = REPEATABLE_METHODS.contains(method);
        CompletableFuture<HttpAnswer> result = new CompletableFuture<>();
        Function<CallConnection, CompletableFuture<HttpAnswer>> send = connection -> {
            closeOnCancel(connection, result);
            return connection.send(request(method, uri, headers, body), deadlineNanos);
        };
        Supplier<CompletableFuture<HttpAnswer>> sendOnNew = () -> connect(uri).thenCompose(send);
        takeKept(uri)
                .map(kept -> send.apply(kept)
                        .exceptionallyCompose(failure -> repeatable && failure instanceof KeptConnectionClosedException
                                ? sendOnNew.get()
                                : CompletableFuture.failedFuture(failure)))
                .orElseGet(sendOnNew)
                .exceptionally(failure -> HttpAnswer.none(textOf(failure)))
                .thenAccept(result::complete);
        return result;
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

    private static void closeOnCancel(CallConnection connection, CompletableFuture<HttpAnswer> result) {
        result.whenComplete((answer, failure) -> {
            if (result.isCancelled()) {
                connection.close();
            }
        });
    }

    private static String textOf(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof TimeoutException
                ? "no complete response within " + TIMEOUT_MILLIS + " ms"
                : String.valueOf(cause);
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

    private CompletableFuture<CallConnection> connect(URI uri) {
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
        return connection;
    }

    private static void onOpened(ChannelFuture opened, CompletableFuture<CallConnection> connection) {
        if (opened.isSuccess()) {
            connection.complete(opened.channel().pipeline().get(CallConnection.class));
        } else {
            connection.completeExceptionally(opened.cause());
        }
    }
}
