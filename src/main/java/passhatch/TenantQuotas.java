package passhatch;

import java.util.Arrays;
import passhatch.Balancer.Settings;

/** Rate limits of the tenants, each by this copy's part of the tenant's quota. */
final class TenantQuotas {

    /** A tenant may send as much at once as its quota allows in this time. */
    private static final double MAX_BURST_US = 2_000_000;

    private final Settings settings;
    /** By tenant: when its next request would be due, had all come evenly at the rate of its quota. */
    private final double[] theoreticalArrivalUs;

    TenantQuotas(Settings settings) {
        this.settings = settings;
        this.theoreticalArrivalUs = new double[settings.tenants().size()];
        Arrays.fill(theoreticalArrivalUs, Long.MIN_VALUE);
    }

    /**
     * Returns whether a request exceeds its tenant's quota, and counts it if not. Such a request has little
     * worth, so it makes room for others while no server is idle. The quota applies at the first tier only,
     * as further down work was already done for the request.
     */
    boolean exceedsQuota(long nowUs, int tenant) {
        if (settings.tier() > 0 || settings.overQuotaWorth() >= 1 || tenant >= theoreticalArrivalUs.length) {
            return false;
        }
        double quota = settings.tenants().get(tenant).quotaPerSecond() / settings.copies();
        if (quota > 0 && theoreticalArrivalUs[tenant] > nowUs + MAX_BURST_US) {
            return true;
        }
        theoreticalArrivalUs[tenant] =
                Math.max(theoreticalArrivalUs[tenant], nowUs) + (quota > 0 ? 1e6 / quota : 0);
        return false;
    }
}
