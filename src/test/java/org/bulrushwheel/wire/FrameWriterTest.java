package org.bulrushwheel.wire;

import com.codahale.metrics.MetricRegistry;
import com.google.protobuf.ByteString;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import org.bulrushwheel.kernel.ByteBudget;
import org.bulrushwheel.model.proto.Frame;
import org.bulrushwheel.model.proto.InstallSnapshot;
import org.bulrushwheel.model.proto.RaftMessage;
import org.bulrushwheel.model.proto.SnapshotFile;
import org.bulrushwheel.server.api.ApiCapacity;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class FrameWriterTest {
    private static final int MEGABYTE = 1024 * 1024;
    // What a snapshot holds beside the configuration: endpoints, evacuations, voters.
    private static final int OTHER_STATE_BYTES = 512 * 1024;

    private final MetricRegistry metrics = new MetricRegistry();

    /**
     * Guards against accepted configurations that can't be replicated: the longest one that operators may send fits into a
     * frame that every connection carries, whatever the heap.
     */
    @ParameterizedTest
    @ValueSource(ints = {32, 64, 96, 256, 512, 4096})
    void longestConfigurationFitsIntoAFrame(int heapMegabytes) {
        long heapBytes = (long) heapMegabytes * MEGABYTE;
        int documentBytes = new ApiCapacity(heapBytes, metrics).maxDocumentBytes();
        Frame frame = snapshot(documentBytes + OTHER_STATE_BYTES);
        long heldBytes = PeerNetwork.heldBytes(heapBytes);
        assertTrue(frame.getSerializedSize() <= PeerNetwork.maxFrameBytes(heldBytes));
        EmbeddedChannel channel = channel(heldBytes);
        assertTrue(isSent(channel, snapshot(FrameWriter.FREE_BYTES / 2)));
        assertTrue(isSent(channel, frame), "an idle connection drops the frame");
        channel.finishAndReleaseAll();
    }

    /** Guards against the frames of one connection that take the memory of all others. */
    @ParameterizedTest
    @CsvSource({
        // frame, following frame, sent, counter of the following one
        "3000000, 3000000, false, peers.frames.unread",
        "900000, 900000, true, ''",
        "1000000, 7900000, false, peers.frames.unread",
        "1000000, 9000000, false, peers.frames.too-long",
    })
    void framesBehindAnUnwrittenOneStayWithinTheShare(int first, int second, boolean sent, String counter) {
        ByteBudget budget = new ByteBudget(8_000_000);
        EmbeddedChannel channel = new EmbeddedChannel(new FrameWriter(budget, metrics));
        ChannelPromise firstDone = write(channel, snapshot(first));
        assertFalse(firstDone.isDone());
        assertEquals(!sent, write(channel, snapshot(second)).isDone());
        metrics.getCounters()
                .forEach((name, count) -> assertEquals(name.equals(counter) ? 1 : 0, count.getCount(), name));
        assertTrue(sent || metrics.getCounters().containsKey(counter));
        assertTrue(budget.reservedBytes() >= first);
        channel.close();
        assertEquals(0, budget.reservedBytes());
    }

    private EmbeddedChannel channel(long heldBytes) {
        return new EmbeddedChannel(new FrameWriter(new ByteBudget(heldBytes), metrics));
    }

    private static boolean isSent(EmbeddedChannel channel, Frame frame) {
        return channel.writeOutbound(frame) && channel.readOutbound() != null;
    }

    private static ChannelPromise write(EmbeddedChannel channel, Frame frame) {
        ChannelPromise promise = channel.newPromise();
        // Stays unwritten, since it is not flushed.
        channel.write(frame, promise);
        return promise;
    }

    private static Frame snapshot(int stateBytes) {
        return Frame.newBuilder()
                .setRaft(RaftMessage.newBuilder()
                        .setInstallSnapshot(InstallSnapshot.newBuilder()
                                .setSnapshot(
                                        SnapshotFile.newBuilder().setState(ByteString.copyFrom(new byte[stateBytes])))))
                .build();
    }
}
