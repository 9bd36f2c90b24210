package passhatch.proxy.base;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP. Java has no supported API for it, and without a handler the JVM ends at the
 * signal. The class sun.misc.Signal of the module jdk.unsupported is accessed by reflection, as
 * direct use causes a compiler warning that cannot be suppressed.
 */
public final class ReloadSignal {

    private ReloadSignal() {}

    /**
     * Runs an action at every SIGHUP from now on, on a thread of the JVM.
     *
     * @return false if the process was started with SIGHUP ignored, as by nohup: the JVM then
     *     leaves it ignored, and the action never runs
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
            throw new IllegalStateException("cannot install a handler for SIGHUP", e);
        }
    }
}
