package org.bulrushwheel.server.edge;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.ChannelFuture;
import io.vavr.control.Either;
import org.bulrushwheel.logic.budget.LinkLoad;
import org.bulrushwheel.logic.retry.ConnectPatience;
import org.bulrushwheel.logic.time.TimeSource;

/**
 * One attempt to open a connection to an endpoint.
 *
 * <p>Invariant: the callback is called exactly once. Not thread safe: confined to one event loop.
 */
final class ConnectAttempt {
    private final EndpointConnection connection;
    private final LinkLoad link;
    private final TimeSource time;
    private final ConnectPatience patience;
    private final Consumer<Either<ConnectFailure, EndpointConnection>> callback;
    private boolean ended;

    ConnectAttempt(
            EndpointConnection connection,
            LinkLoad link,
            TimeSource time,
            Consumer<Either<ConnectFailure, EndpointConnection>> callback) {
        this.connection = connection;
        this.link = link;
        this.time = time;
        this.patience = new ConnectPatience(time.monotonicMillis());
        this.callback = callback;
    }

    void await(ChannelFuture opening) {
        opening.addListener(opened -> {
            if (opened.isSuccess()) {
                end(Either.right(connection));
            } else {
                // The endpoint's machine has refused it, or cannot be reached.
                end(Either.left(new ConnectFailure(String.valueOf(opened.cause().getMessage()), true)));
            }
        });
        check(opening);
    }

    private void check(ChannelFuture opening) {
        if (ended) {
            return;
        }
        long nowMillis = time.monotonicMillis();
        long waitMillis = patience.waitMillis(link.isBusy(nowMillis), nowMillis);
        if (waitMillis > 0) {
            opening.channel().eventLoop().schedule(() -> check(opening), waitMillis, TimeUnit.MILLISECONDS);
            return;
        }
        end(Either.left(new ConnectFailure("no connection in time", patience.blamesEndpoint())));
        opening.channel().close();
    }

    private void end(Either<ConnectFailure, EndpointConnection> result) {
        if (!ended) {
            ended = true;
            callback.accept(result);
        }
    }
}
