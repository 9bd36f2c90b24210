package passhatch.proxy.base;

import java.lang.reflect.Proxy;

/**
 * SIGHUP. Java offers no supported way to it, and without a handler the JVM ends at the signal. The
 * class sun.misc.Signal, of the module jdk.unsupported, is reached by reflection, as a plain use of
 * it is a warning that nothing silences.
 */
public final class HangUp {

    private HangUp() {}

    /**
     * Has this run, on a thread of the JVM's, at every SIGHUP from now on.
     *
     * @return false where the process was started with SIGHUP ignored, as by nohup: the JVM leaves
     *     it ignored, and this never runs
     */
    public static boolean handle(Runnable then) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object handling =
                    Proxy.newProxyInstance(
                            handler.getClassLoader(),
                            new Class<?>[] {handler},
                            (self, method, args) -> {
                                then.run();
                                return null;
                            });
            Object before =
                    signal.getMethod("handle", signal, handler)
                            .invoke(
                                    null,
                                    signal.getConstructor(String.class).newInstance("HUP"),
                                    handling);
            return before != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIGHUP cannot be handled", e);
        }
    }
}
