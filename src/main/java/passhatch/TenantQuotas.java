package passhatch;

import java.util.Arrays;
import passhatch.Balancer.Settings;

/** Rate limits of the tenants. Each copy allows a tenant an equal part of the tenant's quota. */
final class TenantQuotas {

    /**
     * Maximum burst of a tenant, given as a time: the tenant may send at once as many requests as its quota
     * allows in this time.
     */
    private static final double MAX_BURST_US = 2_000_000;

    private final Settings settings;
    /**
     * For each tenant, by index: when the tenant's next request would arrive if all of the tenant's requests
     * had come evenly at the rate of the quota.
     */
    private final double[] theoreticalArrivalUs;

    TenantQuotas(Settings settings) {
        this.settings = settings;
        this.theoreticalArrivalUs = new double[settings.tenants().size()];
        Arrays.fill(theoreticalArrivalUs, Long.MIN_VALUE);
    }

    /**
     * Returns whether a new request exceeds its tenant's quota, and counts the request if it does not. A
     * request over quota has little worth, so it is sent only to an idle server. Quotas apply at the first
     * tier only, as at later tiers work was already done for the request.
     */
    boolean exceedsQuota(long nowUs, int tenant) {
        if (settings.tier() > 0 || settings.overQuotaWorth() >= 1 || tenant >= theoreticalArrivalUs.length) {
            return false;
        }
        double copyQuotaPerSecond =
                settings.tenants().get(tenant).quotaPerSecond() / settings.copies();
        if (copyQuotaPerSecond > 0 && theoreticalArrivalUs[tenant] > nowUs + MAX_BURST_US) {
            return true;
        }
        theoreticalArrivalUs[tenant] =
                Math.max(theoreticalArrivalUs[tenant], nowUs)
                + (copyQuotaPerSecond > 0 ? 1e6 / copyQuotaPerSecond : 0);
        return false;
    }
}
