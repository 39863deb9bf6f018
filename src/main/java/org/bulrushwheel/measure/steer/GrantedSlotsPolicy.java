package org.bulrushwheel.measure.steer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.bulrushwheel.logic.budget.GrantTimings;
import org.bulrushwheel.logic.budget.SlotPoolOwner;
import org.bulrushwheel.logic.steering.PoolReference;
import org.bulrushwheel.logic.steering.ServiceSlots;
import org.bulrushwheel.logic.steering.SlotAction;
import org.bulrushwheel.logic.steering.SlotOutcome;
import org.bulrushwheel.logic.steering.SteeringPlan;
import org.bulrushwheel.logic.steering.SteeringTimings;
import org.bulrushwheel.model.proto.SlotGrant;
import org.bulrushwheel.model.proto.SlotRequest;

/**
 * The product's decisions: slots granted by one owner in each zone.
 *
 * <p>Not thread safe.
 */
final class GrantedSlotsPolicy implements SteerPolicy {
    private static final String SERVICE = "service";
    private static final long DEADLINE_MILLIS = 5_000;

    private record Pending(Consumer<SteerEndpoint> chosen) {}

    private final SteerWorld world;
    private final Map<String, SlotPoolOwner> owners = new HashMap<>();
    private final List<ServiceSlots> slots = new ArrayList<>();
    private final Map<Long, Pending> pending = new HashMap<>();
    private final Map<String, SteerEndpoint> endpointsByName = new HashMap<>();
    private long messages;

    GrantedSlotsPolicy(SteerWorld world) {
        this.world = world;
        world.endpoints().forEach(endpoint -> endpointsByName.put(endpoint.name(), endpoint));
        for (String zone : world.deployment().zones()) {
            SlotPoolOwner owner = new SlotPoolOwner(ServiceSlots.poolName(zone, SERVICE), GrantTimings.SLOTS);
            owner.setLimits(limitsOf(zone, null));
            owners.put(zone, owner);
        }
        for (int entry = 0; entry < world.entries(); entry++) {
            slots.add(
                    new ServiceSlots(SERVICE, poolsOf(world.zoneOf(entry)), zone -> true, 1, SteeringTimings.DEFAULT));
        }
    }

    long messages() {
        return messages;
    }

    private List<PoolReference> poolsOf(String zone) {
        return SteeringPlan.pools(zone, world.deployment().zones(), SteerDeployment::regionOf);
    }

    private Map<String, Integer> limitsOf(String zone, SteerEndpoint except) {
        return world.endpoints().stream()
                .filter(endpoint -> endpoint.zone().equals(zone) && endpoint != except && endpoint.isUp())
                .collect(Collectors.toMap(SteerEndpoint::name, SteerEndpoint::slots));
    }

    @Override
    public void choose(int entry, SteerRequest request, Consumer<SteerEndpoint> chosen) {
        pending.put(request.id(), new Pending(chosen));
        long now = world.nowMillis();
        run(entry, slots.get(entry).submit(request.id(), request.tried(), now + DEADLINE_MILLIS, now));
    }

    @Override
    public void finished(int entry, SteerEndpoint endpoint, boolean shed) {
        SlotOutcome outcome = !endpoint.isUp() ? SlotOutcome.FAILURE : shed ? SlotOutcome.NEUTRAL : SlotOutcome.SUCCESS;
        run(entry, slots.get(entry).release(endpoint.zone(), endpoint.name(), outcome, world.nowMillis()));
    }

    @Override
    public void tick() {
        owners.forEach((zone, owner) -> reply(zone, owner.tick(world.nowMillis())));
        for (int entry = 0; entry < slots.size(); entry++) {
            run(entry, slots.get(entry).tick(world.nowMillis()));
        }
    }

    @Override
    public void leave(SteerEndpoint endpoint) {
        world.after(world.deployment().zoneDelayMicros(), () -> owners.get(endpoint.zone())
                .setLimits(limitsOf(endpoint.zone(), endpoint)));
    }

    @Override
    public void loseZone(String zone) {
        owners.remove(zone);
    }

    @Override
    public boolean retriesSheds() {
        return true;
    }

    private void run(int entry, List<SlotAction> actions) {
        for (SlotAction action : actions) {
            if (action instanceof SlotAction.Dispatch dispatch) {
                pending.remove(dispatch.requestId()).chosen().accept(endpointsByName.get(dispatch.endpoint()));
            } else if (action instanceof SlotAction.Refuse refuse) {
                pending.remove(refuse.requestId()).chosen().accept(null);
            } else if (action instanceof SlotAction.RequestSlots ask) {
                messages++;
                long delay = world.deployment().delayMicros(world.zoneOf(entry), ask.zone());
                world.after(delay, () -> onAsk(entry, ask.zone(), ask.request()));
            }
        }
    }

    private void onAsk(int entry, String zone, SlotRequest request) {
        SlotPoolOwner owner = owners.get(zone);
        if (owner != null) {
            boolean remote = !world.zoneOf(entry).equals(zone);
            reply(zone, owner.onRequest("" + entry, remote, request, world.nowMillis()));
        }
    }

    private void reply(String zone, Map<String, SlotGrant> grants) {
        grants.forEach((holder, grant) -> {
            messages++;
            int entry = Integer.parseInt(holder);
            world.after(
                    world.deployment().delayMicros(zone, world.zoneOf(entry)),
                    () -> run(entry, slots.get(entry).onGrant(zone, grant, world.nowMillis())));
        });
    }
}
