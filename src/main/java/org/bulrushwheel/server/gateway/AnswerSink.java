package org.bulrushwheel.server.gateway;

import org.bulrushwheel.model.refusal.Refusal;

/** Where the end of a request goes before its caller sees it. Called on the I/O thread of the exchange. */
interface AnswerSink {
    /** Sends everything to the caller at once. */
    AnswerSink DIRECT = new AnswerSink() {
        @Override
        public boolean wantsWholeAnswer() {
            return false;
        }

        @Override
        public void answered(BufferedAnswer answer, Runnable send) {
            send.run();
        }

        @Override
        public void refused(Refusal refusal, Runnable send) {
            send.run();
        }
    };

    /** Whether answers are to be buffered as far as the limit goes. */
    boolean wantsWholeAnswer();

    /** A whole answer came; {@code send} passes it on. */
    void answered(BufferedAnswer answer, Runnable send);

    /** No answer came; {@code send} passes the refusal on. */
    void refused(Refusal refusal, Runnable send);
}
