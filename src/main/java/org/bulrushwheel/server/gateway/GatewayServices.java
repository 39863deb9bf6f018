package org.bulrushwheel.server.gateway;

import com.codahale.metrics.MetricRegistry;
import org.bulrushwheel.logic.retry.RetryBudget;
import org.bulrushwheel.logic.time.TimeSource;
import org.bulrushwheel.server.HttpAnswers;

/**
 * What the gateway works with.
 *
 * <p>Immutable and thread safe.
 *
 * @param instance name of this instance
 * @param slots source of slots
 * @param ledger run ledger
 * @param admission cap of the shift
 * @param poison requests that crash endpoints
 * @param connections connections to endpoints
 * @param retries budget of retries
 * @param time time
 * @param metrics registry
 * @param answers writer of answers
 */
record GatewayServices(
        String instance,
        SlotSource slots,
        RunLedger ledger,
        Admission admission,
        PoisonGuard poison,
        UpstreamConnections connections,
        RetryBudget retries,
        TimeSource time,
        MetricRegistry metrics,
        HttpAnswers answers) {}
