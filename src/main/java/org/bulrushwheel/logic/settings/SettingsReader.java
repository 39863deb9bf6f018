package org.bulrushwheel.logic.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.vavr.control.Either;
import org.bulrushwheel.logic.config.CidrPrefix;
import org.bulrushwheel.model.instance.Address;
import org.bulrushwheel.model.instance.Instance;
import org.bulrushwheel.model.settings.FleetSettings;
import org.bulrushwheel.model.settings.Settings;

/**
 * Reads and validates settings, reporting every fault at once.
 *
 * <p>Stateless and thread safe.
 */
public final class SettingsReader {
    private static final TomlMapper TOML = new TomlMapper();
    private static final Set<String> LOG_FORMATS = Set.of("plain", "json");

    private SettingsReader() {}

    /** Reads a document; the left value lists all faults, each with its key and remedy. */
    public static Either<List<String>, Settings> read(String document) {
        try {
            JsonNode tree = TOML.readTree(document);
            List<String> faults = RecordShape.faults(tree, Settings.class);
            if (!faults.isEmpty()) {
                return Either.left(faults);
            }
            Settings settings = TOML.treeToValue(tree, Settings.class);
            List<String> violations = check(settings);
            return violations.isEmpty() ? Either.right(settings) : Either.left(violations);
        } catch (JsonProcessingException e) {
            return Either.left(List.of(lineOf(e) + e.getOriginalMessage() + "; correct the TOML"));
        }
    }

    /** Reads the settings of a process that discovers others through seeds; the left value lists all faults. */
    public static Either<List<String>, FleetSettings> readFleet(String document) {
        try {
            JsonNode tree = TOML.readTree(document);
            List<String> faults = new ArrayList<>(RecordShape.faults(tree, FleetSettings.class));
            if (!faults.isEmpty()) {
                return Either.left(faults);
            }
            FleetSettings settings = TOML.treeToValue(tree, FleetSettings.class);
            checkAddress("peerAddress", settings.peerAddress(), faults);
            settings.seeds().forEach(seed -> checkAddress("seeds", seed, faults));
            return faults.isEmpty() ? Either.right(settings) : Either.left(faults);
        } catch (JsonProcessingException e) {
            return Either.left(List.of(lineOf(e) + e.getOriginalMessage() + "; correct the TOML"));
        }
    }

    private static String lineOf(JsonProcessingException e) {
        return e.getLocation() == null ? "" : "line " + e.getLocation().getLineNr() + ": ";
    }

    private static List<String> check(Settings settings) {
        List<String> faults = new ArrayList<>();
        checkAddress("httpAddress", settings.httpAddress(), faults);
        checkAddress("peerAddress", settings.peerAddress(), faults);
        if (settings.logFormat() != null && !LOG_FORMATS.contains(settings.logFormat())) {
            faults.add("logFormat: '" + settings.logFormat() + "' is unknown; use plain or json");
        }
        String hash = settings.administrationTokenSha256();
        if (hash != null && !hash.matches("[0-9a-f]{64}")) {
            faults.add(
                    "administrationTokenSha256: is not a SHA-256 in lower-case hex; hash the token and write the 64 digits");
        }
        Set<String> names = new HashSet<>(Set.of(settings.instance()));
        for (Instance peer : settings.peers()) {
            String key = "peers." + peer.name();
            if (!names.add(peer.name())) {
                faults.add(key + ": is defined twice; rename one or remove this instance from its own peers");
            }
            checkAddress(key + ".httpAddress", peer.httpAddress(), faults);
            checkAddress(key + ".peerAddress", peer.peerAddress(), faults);
        }
        return faults;
    }

    private static void checkAddress(String key, String text, List<String> faults) {
        try {
            Address address = Address.parse(text);
            boolean portValid = address.port() > 0 && address.port() <= 65_535;
            if (CidrPrefix.parseAddress(address.host()).isEmpty() || !portValid) {
                faults.add(key + ": '" + text + "' is not an IP address with a port; write it as IP:PORT");
            }
        } catch (IllegalArgumentException e) {
            faults.add(key + ": '" + text + "' is not an address; write it as IP:PORT");
        }
    }
}
