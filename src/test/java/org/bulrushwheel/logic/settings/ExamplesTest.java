package org.bulrushwheel.logic.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.bulrushwheel.logic.config.ConfigurationChecker;
import org.bulrushwheel.logic.config.ConfigurationCodec;
import org.bulrushwheel.logic.config.ConfigurationGenerator;
import org.bulrushwheel.logic.config.QuestionnaireAnswers;
import org.bulrushwheel.model.config.Configuration;
import org.bulrushwheel.model.instance.Instance;
import org.bulrushwheel.model.settings.Settings;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ExamplesTest {
    @ParameterizedTest
    @ValueSource(strings = {"adwenpa", "foerderbruecke"})
    void answersGenerateTheExampleConfiguration(String name) throws IOException {
        QuestionnaireAnswers answers = ConfigurationCodec.read(read(name, "answers.toml"), QuestionnaireAnswers.class)
                .get();
        String document = ConfigurationCodec.write(ConfigurationGenerator.generate(answers));
        assertEquals(read(name, "configuration.toml"), document);
    }

    @ParameterizedTest
    @ValueSource(strings = {"adwenpa", "foerderbruecke"})
    void configurationHasNoFaults(String name) throws IOException {
        Configuration configuration = ConfigurationCodec.read(read(name, "configuration.toml"), Configuration.class)
                .get();
        assertEquals(List.of(), ConfigurationChecker.check(configuration));
    }

    @ParameterizedTest
    @ValueSource(strings = {"adwenpa", "foerderbruecke"})
    void settingsOfAllTwentyFourInstancesListTheSameInstances(String name) throws IOException {
        List<Settings> all = new ArrayList<>();
        try (Stream<Path> files = Files.list(Path.of("examples", name, "settings"))) {
            for (Path file : files.toList()) {
                all.add(SettingsReader.read(Files.readString(file)).get());
            }
        }
        assertEquals(24, all.size());
        List<Instance> instances = all.get(0).instances();
        assertEquals(5, instances.stream().filter(Instance::control).count());
        all.forEach(settings -> assertEquals(instances, settings.instances(), settings.instance()));
    }

    @ParameterizedTest
    @CsvSource({
        "zone = 'a', zone",
        "httpAddress = 'nowhere', httpAddress",
        "peerAddress = '10.0.0.1:99999', peerAddress",
        "colour = 'red', colour",
        "logFormat = 'xml', logFormat"
    })
    void everyFaultNamesItsKeyAndARemedy(String line, String key) throws IOException {
        String valid = read("adwenpa", "settings/accra-a-1.toml");
        String field = line.substring(0, line.indexOf(' '));
        String withoutField = valid.replaceFirst("(?m)^" + field + " = .*\\n", "");
        String document = field.equals("zone") ? withoutField : line.replace('\'', '"') + "\n" + withoutField;
        List<String> faults = SettingsReader.read(document).getLeft();

        assertTrue(faults.stream().anyMatch(fault -> fault.startsWith(key + ":") && fault.contains(";")), "" + faults);
    }

    @ParameterizedTest
    @ValueSource(strings = {"instance = 1", "= broken"})
    void invalidSettingsReportEveryFaultAtOnce(String document) {
        List<String> faults = SettingsReader.read(document).getLeft();
        assertTrue(document.startsWith("=") ? faults.size() == 1 : faults.size() >= 5, "" + faults);
    }

    private static String read(String name, String file) throws IOException {
        return Files.readString(Path.of("examples", name, file));
    }
}
