package org.bulrushwheel.cli;

import java.io.InputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Scanner;

import org.bulrushwheel.logic.config.QuestionnaireAnswers;
import org.bulrushwheel.logic.config.QuestionnaireAnswers.ServiceAnswers;
import org.bulrushwheel.logic.config.QuestionnaireAnswers.ShiftAnswers;

/**
 * Asks the questionnaire on a terminal.
 *
 * <p>Not thread safe.
 */
final class QuestionnaireDialogue {
    private final Scanner in;
    private final PrintStream out;

    QuestionnaireDialogue(InputStream in, PrintStream out) {
        this.in = new Scanner(in, java.nio.charset.StandardCharsets.UTF_8);
        this.out = out;
    }

    /** Asks every question. */
    QuestionnaireAnswers ask() {
        return new QuestionnaireAnswers(
                text("Name of the deployment"),
                text("Time zone of the shifts, as Europe/Zurich"),
                list("Regions, separated by commas"),
                (int) number("Availability zones in each region"),
                number("Capacity between each pair of regions, in Mbit/s each way"),
                text("Team that owns the services"),
                services(),
                shifts(),
                List.of());
    }

    private List<ServiceAnswers> services() {
        List<ServiceAnswers> services = new ArrayList<>();
        for (String name : list("Services, separated by commas")) {
            services.add(new ServiceAnswers(
                    name,
                    number("Longest time of a request to " + name + ", in ms"),
                    list("Paths of " + name + " whose POST requests must not run twice, separated by commas"),
                    number("Most requests a second to " + name + " in a shift")));
        }
        return services;
    }

    private List<ShiftAnswers> shifts() {
        List<ShiftAnswers> shifts = new ArrayList<>();
        for (String name : list("Shifts, separated by commas")) {
            shifts.add(new ShiftAnswers(
                    name, text("Start of " + name + ", as 06:00"), text("End of " + name + ", as 13:45")));
        }
        return shifts;
    }

    private String text(String question) {
        out.println(question + ":");
        if (!in.hasNextLine()) {
            throw new UsageException("the answers ended before the questions; answer every question");
        }
        return in.nextLine().strip();
    }

    private long number(String question) {
        String answer = text(question);
        if (!answer.matches("[0-9]{1,15}")) {
            throw new UsageException("'" + answer + "' is no whole number; answer with digits");
        }
        return Long.parseLong(answer);
    }

    private List<String> list(String question) {
        return Arrays.stream(text(question).split(","))
                .map(String::strip)
                .filter(item -> !item.isEmpty())
                .toList();
    }
}
