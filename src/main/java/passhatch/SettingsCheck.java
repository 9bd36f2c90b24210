package passhatch;

import passhatch.Balancer.Limits;
import passhatch.Balancer.RequestClass;
import passhatch.Balancer.Rules;
import passhatch.Balancer.Settings;
import passhatch.Balancer.Tenant;

/** Validates settings; the message of the exception names the invalid field. */
final class SettingsCheck {

    private SettingsCheck() {}

    static void check(Settings s) {
        require(s != null, "settings", "missing");
        require(s.classes() != null && !s.classes().isEmpty(), "classes", "at least one is needed");
        for (int i = 0; i < s.classes().size(); i++) {
            RequestClass c = s.classes().get(i);
            String at = "classes[" + i + "]";
            require(c != null, at, "missing");
            require(c.effect() != null, at + ".effect", "missing");
            require(c.group() != null, at + ".group", "missing");
            require(c.aimUs() > 0, at + ".aimUs", "must be above 0");
            require(c.deadlineUs() >= c.aimUs(), at + ".deadlineUs", "must not be below aimUs");
            require(c.worth() >= 0, at + ".worth", "must not be negative");
            require(
                    c.lateWorth() >= 0 && c.lateWorth() <= 1,
                    at + ".lateWorth",
                    "must lie in 0..1");
            require(c.dedupWindowUs() >= 0, at + ".dedupWindowUs", "must not be negative");
        }
        require(s.tenants() != null, "tenants", "missing");
        for (int i = 0; i < s.tenants().size(); i++) {
            Tenant t = s.tenants().get(i);
            require(t != null, "tenants[" + i + "]", "missing");
            require(
                    t.quotaPerSecond() >= 0,
                    "tenants[" + i + "].quotaPerSecond",
                    "must not be negative");
        }
        Limits limits = s.limits();
        require(limits != null, "limits", "missing");
        require(limits.maxAttempts() >= 1, "limits.maxAttempts", "must be at least 1");
        require(limits.maxRetryAfterUs() >= 0, "limits.maxRetryAfterUs", "must not be negative");
        require(
                limits.callsPerConnection() >= 1,
                "limits.callsPerConnection",
                "must be at least 1");
        require(limits.keepaliveUs() >= 0, "limits.keepaliveUs", "must not be negative");
        Rules rules = s.rules();
        require(rules != null, "rules", "missing");
        require(rules.drainGraceUs() >= 0, "rules.drainGraceUs", "must not be negative");
        require(rules.askWithinUs() >= 0, "rules.askWithinUs", "must not be negative");
        require(
                rules.coldFrom() > 0 && rules.coldFrom() <= 1,
                "rules.coldFrom",
                "must lie above 0, up to 1");
        require(rules.coldUs() >= 0, "rules.coldUs", "must not be negative");
        require(rules.tipMultiple() > 0, "rules.tipMultiple", "must be above 0");
        require(rules.overloadForUs() >= 0, "rules.overloadForUs", "must not be negative");
        require(rules.closeWithinUs() >= 0, "rules.closeWithinUs", "must not be negative");
        require(s.prices() != null, "prices", "missing");
        require(s.copies() >= 1, "copies", "must be at least 1");
        require(s.copy() >= 0 && s.copy() < s.copies(), "copy", "must lie within copies");
        require(s.tiers() >= 1, "tiers", "must be at least 1");
        require(s.tier() >= 0 && s.tier() < s.tiers(), "tier", "must lie within tiers");
        require(
                s.overQuotaWorth() >= 0 && s.overQuotaWorth() <= 1,
                "overQuotaWorth",
                "must lie in 0..1");
        require(s.tickUs() >= 1, "tickUs", "must be at least 1");
    }

    private static void require(boolean holds, String field, String what) {
        if (!holds) {
            throw new IllegalArgumentException(field + ": " + what);
        }
    }
}
