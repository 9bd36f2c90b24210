package passhatch;

import passhatch.Balancer.Limits;
import passhatch.Balancer.RequestClass;
import passhatch.Balancer.Rules;
import passhatch.Balancer.Settings;
import passhatch.Balancer.Tenant;

/** Validates settings. An invalid setting causes an exception whose message names the field. */
final class SettingsCheck {

    private SettingsCheck() {}

    static void check(Settings settings) {
        require(settings != null, "settings", "missing");
        require(
                settings.classes() != null && !settings.classes().isEmpty(),
                "classes",
                "at least one is needed");
        for (int i = 0; i < settings.classes().size(); i++) {
            RequestClass requestClass = settings.classes().get(i);
            String path = "classes[" + i + "]";
            require(requestClass != null, path, "missing");
            require(requestClass.effect() != null, path + ".effect", "missing");
            require(requestClass.group() != null, path + ".group", "missing");
            require(requestClass.aimUs() > 0, path + ".aimUs", "must be above 0");
            require(
                    requestClass.deadlineUs() >= requestClass.aimUs(),
                    path + ".deadlineUs",
                    "must not be below aimUs");
            require(requestClass.worth() >= 0, path + ".worth", "must not be negative");
            require(
                    requestClass.lateWorth() >= 0 && requestClass.lateWorth() <= 1,
                    path + ".lateWorth",
                    "must lie in 0..1");
            require(
                    requestClass.dedupWindowUs() >= 0,
                    path + ".dedupWindowUs",
                    "must not be negative");
        }
        require(settings.tenants() != null, "tenants", "missing");
        for (int i = 0; i < settings.tenants().size(); i++) {
            Tenant tenant = settings.tenants().get(i);
            require(tenant != null, "tenants[" + i + "]", "missing");
            require(
                    tenant.quotaPerSecond() >= 0,
                    "tenants[" + i + "].quotaPerSecond",
                    "must not be negative");
        }
        Limits limits = settings.limits();
        require(limits != null, "limits", "missing");
        require(limits.maxAttempts() >= 1, "limits.maxAttempts", "must be at least 1");
        require(limits.maxRetryAfterUs() >= 0, "limits.maxRetryAfterUs", "must not be negative");
        require(
                limits.callsPerConnection() >= 1,
                "limits.callsPerConnection",
                "must be at least 1");
        require(limits.keepaliveUs() >= 0, "limits.keepaliveUs", "must not be negative");
        Rules rules = settings.rules();
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
        require(settings.prices() != null, "prices", "missing");
        require(settings.copies() >= 1, "copies", "must be at least 1");
        require(
                settings.copy() >= 0 && settings.copy() < settings.copies(),
                "copy",
                "must lie within copies");
        require(settings.tiers() >= 1, "tiers", "must be at least 1");
        require(
                settings.tier() >= 0 && settings.tier() < settings.tiers(),
                "tier",
                "must lie within tiers");
        require(
                settings.overQuotaWorth() >= 0 && settings.overQuotaWorth() <= 1,
                "overQuotaWorth",
                "must lie in 0..1");
        require(settings.tickUs() >= 1, "tickUs", "must be at least 1");
    }

    private static void require(boolean holds, String field, String problem) {
        if (!holds) {
            throw new IllegalArgumentException(field + ": " + problem);
        }
    }
}
