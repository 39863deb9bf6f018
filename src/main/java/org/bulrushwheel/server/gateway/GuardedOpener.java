package org.bulrushwheel.server.gateway;

import java.net.InetSocketAddress;
import java.util.Optional;

import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.channels.BoundChannel;
import org.xnio.channels.ConnectedSslStreamChannel;
import org.xnio.ssl.SslConnection;
import org.xnio.ssl.XnioSsl;

/**
 * Opens one plain connection whose bytes are read through a {@link GuardedSource}.
 *
 * <p>Undertow's client gives no access to the connections that it opens; only for the scheme https does it take them from
 * its caller, and it uses one that is no {@link SslConnection} as it is. Not thread safe: for one connection, confined to
 * its I/O thread.
 */
final class GuardedOpener extends XnioSsl {
    /** Scheme for which Undertow's client takes its connection from this class. */
    static final String SCHEME = "https";

    private Optional<GuardedSource> source = Optional.empty();

    GuardedOpener(Xnio xnio) {
        super(xnio, null, OptionMap.EMPTY);
    }

    /** Returns the source of the connection; empty until it is open. */
    Optional<GuardedSource> source() {
        return source;
    }

    @Override
    @SuppressWarnings("unchecked")
    public IoFuture<SslConnection> openSslConnection(
            XnioIoThread thread,
            InetSocketAddress local,
            InetSocketAddress destination,
            ChannelListener<? super SslConnection> openListener,
            ChannelListener<? super BoundChannel> bindListener,
            OptionMap options) {
        ChannelListener<StreamConnection> listener =
                (ChannelListener<StreamConnection>) (ChannelListener<?>) openListener;
        IoFuture<StreamConnection> opened = thread.openStreamConnection(
                destination,
                connection -> {
                    GuardedSource guarded =
                            new GuardedSource(connection.getSourceChannel().getConduit());
                    connection.getSourceChannel().setConduit(guarded);
                    source = Optional.of(guarded);
                    listener.handleEvent(connection);
                },
                options);
        return (IoFuture<SslConnection>) (IoFuture<?>) opened;
    }

    @Override
    public IoFuture<SslConnection> openSslConnection(
            XnioWorker worker,
            InetSocketAddress local,
            InetSocketAddress destination,
            ChannelListener<? super SslConnection> openListener,
            ChannelListener<? super BoundChannel> bindListener,
            OptionMap options) {
        throw unsupported();
    }

    @Override
    @SuppressWarnings("deprecation")
    public IoFuture<ConnectedSslStreamChannel> connectSsl(
            XnioWorker worker,
            InetSocketAddress local,
            InetSocketAddress destination,
            ChannelListener<? super ConnectedSslStreamChannel> openListener,
            ChannelListener<? super BoundChannel> bindListener,
            OptionMap options) {
        throw unsupported();
    }

    @Override
    @SuppressWarnings("deprecation")
    public AcceptingChannel<ConnectedSslStreamChannel> createSslTcpServer(
            XnioWorker worker,
            InetSocketAddress local,
            ChannelListener<? super AcceptingChannel<ConnectedSslStreamChannel>> listener,
            OptionMap options) {
        throw unsupported();
    }

    @Override
    public AcceptingChannel<SslConnection> createSslConnectionServer(
            XnioWorker worker,
            InetSocketAddress local,
            ChannelListener<? super AcceptingChannel<SslConnection>> listener,
            OptionMap options) {
        throw unsupported();
    }

    private static UnsupportedOperationException unsupported() {
        return new UnsupportedOperationException("only openSslConnection with an I/O thread opens connections here");
    }
}
