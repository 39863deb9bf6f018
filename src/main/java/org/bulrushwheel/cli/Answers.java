package org.bulrushwheel.cli;

import org.bulrushwheel.client.HttpAnswer;

/**
 * Turns answers into errors for people.
 *
 * <p>Stateless and thread safe.
 */
final class Answers {
    private Answers() {}

    static HttpAnswer requireOk(HttpAnswer answer, String address) {
        if (answer.isOk()) {
            return answer;
        }
        if (answer.status() == 0) {
            throw new IllegalStateException("no answer from " + address + " (" + answer.text()
                    + "); check the address and that the instance runs");
        }
        throw new IllegalStateException(answer.json().path("reason").asText("status " + answer.status()) + ": "
                + answer.json().path("detail").asText() + "; "
                + answer.json().path("remedy").asText());
    }
}
