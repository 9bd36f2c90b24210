package passhatch;

import java.util.Arrays;
import passhatch.Balancer.Settings;

/** How much of its share each tenant has sent, by this copy's part of the quota. */
final class TenantQuotas {

    /** A tenant may send as much at once as its share is in this time. */
    private static final double MAX_BURST_US = 2_000_000;

    private final Settings settings;

    /**
     * When what each tenant sent so far would have come, had it come evenly at the rate of its
     * share.
     */
    private final double[] theoreticalArrivalUs;

    TenantQuotas(Settings settings) {
        this.settings = settings;
        this.theoreticalArrivalUs = new double[settings.tenants().size()];
        Arrays.fill(theoreticalArrivalUs, Long.MIN_VALUE);
    }

    /**
     * Whether a request lies beyond its tenant's share. It earns little, so while no server is idle
     * it makes room for others. Below the first tier work was already done for it.
     */
    boolean overQuota(long nowUs, int tenant) {
        if (settings.tier() > 0
                || settings.overQuotaWorth() >= 1
                || tenant >= theoreticalArrivalUs.length) {
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
