package org.bulrushwheel.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.bulrushwheel.logic.settings.SettingsReader;
import org.bulrushwheel.model.settings.Settings;

/**
 * Reads files that the command line names.
 *
 * <p>Stateless and thread safe.
 */
final class Documents {
    private Documents() {}

    static String read(Path path) {
        try {
            return Files.readString(path);
        } catch (IOException e) {
            throw new UsageException("cannot read " + path + "; name a readable file");
        }
    }

    static Settings settings(Path path) {
        return SettingsReader.read(read(path))
                .getOrElseThrow(faults -> new UsageException(
                        "the settings in " + path + " have faults:\n  " + String.join("\n  ", faults)));
    }
}
