package passhatch.proxy.base;

import java.lang.reflect.Proxy;

/**
 * SIGHUP. Java offers no supported way to it, and without a handler the JVM ends at the signal. The
 * class sun.misc.Signal, of the module jdk.unsupported, is reached by reflection, as a plain use of
 * it is a warning that nothing silences.
 */
public final class ReloadSignal {

    private ReloadSignal() {}

    /**
     * Has this run, on a thread of the JVM's, at every SIGHUP from now on.
     *
     * @return false where the process was started with SIGHUP ignored, as by nohup: the JVM leaves
     *     it ignored, and this never runs
     */
    public static boolean handle(Runnable action) {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object handlerInstance =
                    Proxy.newProxyInstance(
                            handlerClass.getClassLoader(),
                            new Class<?>[] {handlerClass},
                            (self, method, args) -> {
                                action.run();
                                return null;
                            });
            Object previousHandler =
                    signalClass
                            .getMethod("handle", signalClass, handlerClass)
                            .invoke(
                                    null,
                                    signalClass.getConstructor(String.class).newInstance("HUP"),
                                    handlerInstance);
            return previousHandler != handlerClass.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIGHUP cannot be handled", e);
        }
    }
}
