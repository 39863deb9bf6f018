package org.bulrushwheel.server.gateway;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;

import org.bulrushwheel.control.ControlClient;
import org.bulrushwheel.model.proto.ClaimKey;
import org.bulrushwheel.model.proto.Command;
import org.bulrushwheel.model.proto.CommandResult;
import org.bulrushwheel.model.proto.CompleteKey;
import org.bulrushwheel.model.proto.ReleaseKey;
import org.bulrushwheel.model.proto.StoredAnswer;

/**
 * Run ledger in the replicated state of the control instances.
 *
 * <p>Thread safe.
 */
public final class ReplicatedRunLedger implements RunLedger {
    private static final long CLAIM_TIMEOUT_MILLIS = 2_000;
    private static final long COMPLETE_TIMEOUT_MILLIS = 2_000;
    private static final long BACKGROUND_TIMEOUT_MILLIS = 60_000;

    private final String instance;
    private final long incarnation;
    private final ControlClient control;
    private final BiPredicate<String, Long> holderAlive;

    /**
     * Creates a ledger whose claims are held by this instance.
     *
     * @param instance name of this instance
     * @param incarnation incarnation of this process
     * @param control client of the control replicas
     * @param holderAlive returns whether an incarnation of an instance is alive
     */
    public ReplicatedRunLedger(
            String instance, long incarnation, ControlClient control, BiPredicate<String, Long> holderAlive) {
        this.instance = instance;
        this.incarnation = incarnation;
        this.control = control;
        this.holderAlive = holderAlive;
    }

    @Override
    public CompletableFuture<CommandResult> claim(ClaimKey claim) {
        ClaimKey held = claim.toBuilder()
                .setHolder(instance)
                .setHolderIncarnation(incarnation)
                .build();
        return control.propose(command().setClaimKey(held).build(), CLAIM_TIMEOUT_MILLIS);
    }

    @Override
    public CompletableFuture<CommandResult> complete(ClaimKey claim, StoredAnswer answer, boolean answerKept) {
        CompleteKey.Builder complete = completeOf(claim).setAnswerKept(answerKept);
        if (answerKept) {
            complete.setAnswer(answer);
        }
        return control.propose(command().setCompleteKey(complete).build(), BACKGROUND_TIMEOUT_MILLIS)
                .completeOnTimeout(CommandResult.getDefaultInstance(), COMPLETE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public CompletableFuture<CommandResult> completeUnknown(ClaimKey claim) {
        CompleteKey.Builder complete = completeOf(claim).setOutcomeUnknown(true);
        return control.propose(command().setCompleteKey(complete).build(), BACKGROUND_TIMEOUT_MILLIS);
    }

    @Override
    public CompletableFuture<CommandResult> release(ClaimKey claim) {
        ReleaseKey release = ReleaseKey.newBuilder()
                .setService(claim.getService())
                .setKey(claim.getKey())
                .setClaimId(claim.getClaimId())
                .build();
        return control.propose(command().setReleaseKey(release).build(), BACKGROUND_TIMEOUT_MILLIS)
                .completeOnTimeout(CommandResult.getDefaultInstance(), COMPLETE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    public boolean isHolderAlive(String holder, long holderIncarnation) {
        return holderAlive.test(holder, holderIncarnation);
    }

    private static CompleteKey.Builder completeOf(ClaimKey claim) {
        return CompleteKey.newBuilder()
                .setService(claim.getService())
                .setKey(claim.getKey())
                .setClaimId(claim.getClaimId());
    }

    private Command.Builder command() {
        return Command.newBuilder().setActor(instance);
    }
}
