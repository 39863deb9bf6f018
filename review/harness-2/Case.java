import java.nio.file.Path;

/** Runs a case and ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
final class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    /** What a case does; without trouble it leaves its disruption out. */
    interface Play {
        int run(Fleet fleet, Recorder record, boolean trouble) throws Exception;
    }

    private Case() {}

    static void run(String folder, Play play) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = NOT_RUN;
        try (Recorder record = new Recorder(Path.of(folder, "record.txt"))) {
            try (Fleet fleet = new Fleet(record)) {
                code = play.run(fleet, record, trouble);
            } catch (Exception e) {
                code = NOT_RUN;
                record.line("the case could not run: " + e);
            }
            record.line("exit " + code);
        } catch (java.io.IOException e) {
            System.err.println("no record: " + e.getMessage());
        }
        System.exit(code);
    }
}
