package org.bulrushwheel.server.gateway;

import com.codahale.metrics.MetricRegistry;
import org.bulrushwheel.kernel.ByteBudget;
import org.bulrushwheel.logic.retry.RetryBudget;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.server.HttpAnswers;

/**
 * Collaborators that all requests of the gateway share.
 *
 * <p>Immutable and thread safe.
 *
 * @param instance name of this instance
 * @param slots source of slot leases
 * @param ledger run ledger for idempotency keys
 * @param admission admission control by the shift cap
 * @param poison registry of requests that crash endpoints
 * @param connections connection pools of the endpoints
 * @param attemptIds source of the IDs of attempts
 * @param retries retry budget
 * @param bodies budget of the bodies that the process holds
 * @param time time source
 * @param metrics metrics registry
 * @param answers writer of JSON responses and refusals
 */
record GatewayServices(
        String instance,
        SlotSource slots,
        RunLedger ledger,
        Admission admission,
        PoisonGuard poison,
        UpstreamConnections connections,
        AttemptIds attemptIds,
        RetryBudget retries,
        ByteBudget bodies,
        TimeSource time,
        MetricRegistry metrics,
        HttpAnswers answers) {}
