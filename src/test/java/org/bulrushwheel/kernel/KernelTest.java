package org.bulrushwheel.kernel;

import java.util.ArrayList;
import java.util.List;

import org.bulrushwheel.model.decision.DecisionSink;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class KernelTest {
    private final List<String> calls = new ArrayList<>();
    private final Kernel kernel = new Kernel(DecisionSink.NONE);

    private KernelService service(String name, boolean failsToDrain) {
        return new KernelService() {
            @Override
            public String name() {
                return name;
            }

            @Override
            public void start() {
                calls.add("start " + name);
            }

            @Override
            public void drain(long deadlineNanos) {
                calls.add("drain " + name);
                if (failsToDrain) {
                    throw new IllegalStateException("drain fails");
                }
            }

            @Override
            public void stop() {
                calls.add("stop " + name);
            }
        };
    }

    @Test
    void failureToDrainOneServiceDoesNotKeepTheOthersFromStopping() {
        kernel.register(service("a", false));
        kernel.register(service("b", true));
        kernel.start();
        kernel.stop(0);
        assertEquals(List.of("start a", "start b", "drain b", "drain a", "stop b", "stop a"), calls);
    }
}
