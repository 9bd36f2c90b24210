package passhatch;

import java.util.Arrays;
import passhatch.Balancer.Settings;

/** How much of its share each tenant has sent, by this copy's part of the quota. */
final class TenantShares {

    /** A tenant may send as much at once as its share is in this time. */
    private static final double SAVED_US = 2_000_000;

    private final Settings settings;
    /** When what each tenant sent so far would have come, had it come evenly at the rate of its share. */
    private final double[] sentUntilUs;

    TenantShares(Settings settings) {
        this.settings = settings;
        this.sentUntilUs = new double[settings.tenants().size()];
        Arrays.fill(sentUntilUs, Long.MIN_VALUE);
    }

    /**
     * Whether a request lies beyond its tenant's share. It earns little, so while no server is idle it makes
     * room for others. Below the first tier work was already done for it.
     */
    boolean beyond(long nowUs, int tenant) {
        if (settings.tier() > 0 || settings.overQuotaWorth() >= 1 || tenant >= sentUntilUs.length) {
            return false;
        }
        double quota = settings.tenants().get(tenant).quotaPerSecond() / settings.copies();
        if (quota > 0 && sentUntilUs[tenant] > nowUs + SAVED_US) {
            return true;
        }
        sentUntilUs[tenant] = Math.max(sentUntilUs[tenant], nowUs) + (quota > 0 ? 1e6 / quota : 0);
        return false;
    }
}
