# Starts the proxy with limits on memory that derive from the configured one. Only the shell's own commands are
# used: where other programs may not be started, this still ends in the one process.
memory_mb=144
control=$PROXY_CONTROL
while IFS= read -r line || [ -n "$line" ]; do
    found=${line#*\"memory_mb\":}
    if [ "$found" != "$line" ]; then
        found=${found# }
        memory_mb=${found%%[!0-9]*}
    fi
    case $line in *\"control\":*) control=configured ;; esac
done < "$PROXY_CONFIG"

# Where operators can ask, a second process may run beside the first at a change of version. Where there is not
# room for two JVMs, none is started.
share=$memory_mb
if [ "$memory_mb" -ge 150 ] && [ -n "$control" ]; then
    share=$((memory_mb / 2))
fi

# The rest, for the JVM's own code, classes and threads, stays the same.
heap=$((share / 3))
[ "$heap" -lt 24 ] && heap=24
[ "$heap" -gt 48 ] && heap=48
direct=$((heap / 3))

# The build leaves an archive of the classes that serving takes; without it a start is slower.
archive=
[ -f target/passhatch.jsa ] && archive=-XX:SharedArchiveFile=target/passhatch.jsa

# A parent such as nohup hands SIGHUP down ignored. Neither a shell nor a JVM can take that back, and no new
# configuration would ever be taken: env restores the default action, and then becomes the JVM.
ignored=0
if [ -r /proc/self/status ]; then
    while read -r field value; do
        [ "$field" = SigIgn: ] && ignored=$value
    done < /proc/self/status
fi
restore=
case $ignored in
    *[13579bdf]) [ -x /usr/bin/env ] && restore='/usr/bin/env --default-signal=HUP' ;;
esac

exec $restore java -XX:TieredStopAtLevel=1 -XX:+UseSerialGC -XX:-UsePerfData -Xshare:auto $archive \
    -Xms24m -Xmx${heap}m -XX:+ExitOnOutOfMemoryError \
    -Xss512k -XX:MaxMetaspaceSize=40m -XX:ReservedCodeCacheSize=24m -XX:MaxDirectMemorySize=${direct}m \
    -Dio.netty.jfr.enabled=false -jar target/passhatch.jar serve
