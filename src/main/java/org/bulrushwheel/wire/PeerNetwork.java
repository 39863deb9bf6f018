package org.bulrushwheel.wire;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Predicate;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.bulrushwheel.kernel.ByteBudget;
import org.bulrushwheel.kernel.KernelService;
import org.bulrushwheel.model.instance.Address;
import org.bulrushwheel.model.proto.Frame;
import org.bulrushwheel.model.settings.Settings;
import org.jspecify.annotations.Nullable;

/**
 * Sends frames to peers by name and dispatches received frames to the handler registered for their kind.
 *
 * <p>Invariants: a frame is delivered at most once; it may be lost. A call is completed only by a reply of a kind that
 * belongs to it, on the connection to the called peer. Thread safe once started.
 */
public final class PeerNetwork implements KernelService {
    /** Name under which this service is registered in the kernel. */
    public static final String NAME = "peers";

    /** Returned by {@link #connection} if there is no connection to a peer. */
    public static final long NO_CONNECTION = 0;

    private static final String SENT_BYTES_PREFIX = "peers.bytes.sent.";
    private static final long MAX_FRAME_BYTES = 64L * 1024 * 1024;
    private static final long MAX_HELD_BYTES = 256L * 1024 * 1024;
    // Frames are held in direct memory, of which a process has as much as heap, and once more while they are decoded.
    private static final long MEMORY_PER_HELD_FRAMES = 8;
    private static final int EVENT_LOOP_THREADS = 2;
    // A replica that is not the leader answers a read with the result of a command.
    private static final Map<Frame.BodyCase, Set<Frame.BodyCase>> REPLY_KINDS = Map.of(
            Frame.BodyCase.PROPOSAL,
            Set.of(Frame.BodyCase.COMMAND_RESULT),
            Frame.BodyCase.READ_REQUEST,
            Set.of(Frame.BodyCase.READ_ANSWER, Frame.BodyCase.COMMAND_RESULT));

    private final String self;
    private final Address listen;
    private final MetricRegistry metrics;
    private final Map<String, Address> peersByName = new ConcurrentHashMap<>();
    private final Map<String, PeerLink> linksByName = new ConcurrentHashMap<>();
    private final Map<Frame.BodyCase, FrameHandler> handlers = new EnumMap<>(Frame.BodyCase.class);
    private final Map<Long, PendingCall> pendingCalls = new ConcurrentHashMap<>();
    private final AtomicLong nextCorrelationId = new AtomicLong(1);
    private final EventLoopGroup eventLoops;
    private final FrameCodec codec;
    private final Bootstrap clientBootstrap;
    private @Nullable Channel server;

    private record PendingCall(String peer, Set<Frame.BodyCase> replyKinds, CompletableFuture<Frame> answer) {}

    /** Creates a network of the instances listed in the settings. */
    public PeerNetwork(Settings settings, MetricRegistry metrics) {
        this(
                settings.instance(),
                Address.parse(settings.peerAddress()),
                new MultiThreadIoEventLoopGroup(
                        EVENT_LOOP_THREADS, new DefaultThreadFactory("peers", true), NioIoHandler.newFactory()),
                metrics);
        settings.peers().forEach(peer -> peersByName.put(peer.name(), Address.parse(peer.peerAddress())));
    }

    /**
     * Creates a network of instances that are named by their addresses: a peer name that is not listed in the settings is
     * parsed as an address.
     *
     * @param self name of this instance
     * @param listen address on which connections from peers are accepted
     * @param eventLoops event loops of all connections; shut down by {@link #stop}
     * @param metrics registry of the counters and meters
     */
    public PeerNetwork(String self, Address listen, EventLoopGroup eventLoops, MetricRegistry metrics) {
        this.self = self;
        this.listen = listen;
        this.metrics = metrics;
        this.eventLoops = eventLoops;
        long heldBytes = heldBytes(Runtime.getRuntime().maxMemory());
        this.codec = new FrameCodec(
                maxFrameBytes(heldBytes),
                new ReceivedFrames(heldBytes, metrics),
                new ByteBudget(heldBytes),
                metrics,
                this::onFrame);
        this.clientBootstrap = new Bootstrap()
                .group(eventLoops)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(codec);
    }

    /** Returns the bytes of frames, partial or unwritten, that a process with this much heap may hold. */
    static long heldBytes(long maxHeapBytes) {
        return Math.min(MAX_HELD_BYTES, maxHeapBytes / MEMORY_PER_HELD_FRAMES);
    }

    /** Returns the length of the longest frame that a process which may hold this many bytes accepts. */
    static int maxFrameBytes(long heldBytes) {
        return (int) Math.min(MAX_FRAME_BYTES, heldBytes - FrameCodec.LENGTH_FIELD_BYTES);
    }

    @Override
    public String name() {
        return NAME;
    }

    /** Registers the handler of a kind of frame; must be called before {@link #start}. */
    public void handle(Frame.BodyCase kind, FrameHandler handler) {
        handlers.put(kind, handler);
    }

    @Override
    public void start() {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(eventLoops)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(codec);
        server = bootstrap.bind(listen.toSocketAddress()).syncUninterruptibly().channel();
    }

    @Override
    public void stop() {
        if (server != null) {
            server.close().syncUninterruptibly();
        }
        linksByName.values().forEach(PeerLink::close);
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(2, TimeUnit.SECONDS);
    }

    /** Sends a frame without expecting a response. A frame to this instance itself is dispatched without the network. */
    public void send(String peer, Frame.Builder frame) {
        Frame complete = frame.setSender(self).build();
        metrics.meter("peers.frames.sent").mark();
        long bytes = FrameCodec.LENGTH_FIELD_BYTES + complete.getSerializedSize();
        metrics.meter("peers.bytes.sent").mark(bytes);
        metrics.meter(SENT_BYTES_PREFIX + complete.getBodyCase().name().toLowerCase(Locale.ROOT))
                .mark(bytes);
        deliver(peer, complete);
    }

    /**
     * Returns the number of the connection to a peer that is open or being opened. Frames sent before, while there was
     * another number or none, are delivered by now or lost.
     */
    public long connection(String peer) {
        PeerLink link = linksByName.get(peer);
        return link == null ? NO_CONNECTION : link.connection();
    }

    /**
     * Sends a frame of a kind that is replied to, and returns a future of the response, which completes exceptionally with
     * {@link PeerUnreachableException} at the timeout. Only the connection to this peer can deliver the response.
     */
    public CompletableFuture<Frame> call(String peer, Frame.Builder frame, long timeoutMillis) {
        Set<Frame.BodyCase> replyKinds = REPLY_KINDS.get(frame.getBodyCase());
        if (replyKinds == null) {
            throw new IllegalArgumentException("nothing replies to a frame " + frame.getBodyCase()
                    + "; send it, or add its replies to REPLY_KINDS");
        }
        long correlationId = nextCorrelationId.getAndIncrement();
        CompletableFuture<Frame> answer = new CompletableFuture<>();
        pendingCalls.put(correlationId, new PendingCall(peer, replyKinds, answer));
        eventLoops
                .next()
                .schedule(
                        () -> answer.completeExceptionally(new PeerUnreachableException(peer)),
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
        answer.whenComplete((frameOrNull, error) -> pendingCalls.remove(correlationId));
        send(peer, frame.setCorrelationId(correlationId));
        return answer;
    }

    private void deliver(String peer, Frame frame) {
        if (peer.equals(self)) {
            eventLoops.execute(() -> dispatch(frame, reply -> completeCall(reply.build(), peer::equals)));
            return;
        }
        Optional<Address> address = addressOf(peer);
        if (address.isEmpty()) {
            metrics.counter("peers.frames.unknown-peer").inc();
            return;
        }
        linksByName
                .computeIfAbsent(peer, name -> new PeerLink(address.get(), clientBootstrap, metrics))
                .send(frame);
    }

    private Optional<Address> addressOf(String peer) {
        Address listed = peersByName.get(peer);
        if (listed != null) {
            return Optional.of(listed);
        }
        try {
            return Optional.of(Address.parse(peer));
        } catch (IllegalArgumentException e) {
            // The name is neither listed nor an address; the calling method counts it.
            return Optional.empty();
        }
    }

    private void onFrame(ChannelHandlerContext context, Frame frame) {
        if (frame.getReply()) {
            completeCall(frame, peer -> isConnectionTo(peer, context.channel()));
            return;
        }
        dispatch(frame, reply -> context.channel().writeAndFlush(reply.build()));
    }

    private void dispatch(Frame frame, Consumer<Frame.Builder> channel) {
        FrameHandler handler = handlers.get(frame.getBodyCase());
        if (handler == null) {
            metrics.counter("peers.refused.frame-unexpected").inc();
            return;
        }
        handler.onFrame(
                frame,
                reply -> channel.accept(
                        reply.setReply(true).setSender(self).setCorrelationId(frame.getCorrelationId())));
    }

    private boolean isConnectionTo(String peer, Channel channel) {
        PeerLink link = linksByName.get(peer);
        return link != null && link.isConnectedBy(channel);
    }

    private void completeCall(Frame reply, Predicate<String> comesFrom) {
        PendingCall pending = pendingCalls.get(reply.getCorrelationId());
        if (pending == null) {
            return;
        }
        if (pending.replyKinds().contains(reply.getBodyCase()) && comesFrom.test(pending.peer())) {
            pending.answer().complete(reply);
        } else {
            metrics.counter("peers.refused.reply-unexpected").inc();
        }
    }
}
