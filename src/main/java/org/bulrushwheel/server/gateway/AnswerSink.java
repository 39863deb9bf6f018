package org.bulrushwheel.server.gateway;

import org.bulrushwheel.model.refusal.Refusal;

/** Intercepts the outcome of a request before it is sent to the caller. Called on the I/O thread of the exchange. */
interface AnswerSink {
    /** Sends every outcome to the caller immediately. */
    AnswerSink DIRECT = new AnswerSink() {
        @Override
        public boolean needsFullAnswer() {
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

    /** Returns whether responses must be buffered completely, up to the size limit, instead of being streamed. */
    boolean needsFullAnswer();

    /** Called with a response; {@code send} sends it to the caller. */
    void answered(BufferedAnswer answer, Runnable send);

    /** Called if there is no response; {@code send} sends the refusal to the caller. */
    void refused(Refusal refusal, Runnable send);
}
