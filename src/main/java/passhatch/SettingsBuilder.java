package passhatch;

import java.util.ArrayList;
import java.util.List;
import passhatch.Balancer.Limits;
import passhatch.Balancer.Prices;
import passhatch.Balancer.RequestClass;
import passhatch.Balancer.Rules;
import passhatch.Balancer.Settings;
import passhatch.Balancer.Tenant;

/**
 * Builds settings from named values. The defaults are one copy, one tier, one zone, discovery that
 * pushes changes, no prices and no tenants; only the classes of requests have no default. The
 * records of {@link Balancer} document the meaning and unit of each setting; {@link Logic} checks
 * them.
 */
public final class SettingsBuilder {

    private final List<RequestClass> classes = new ArrayList<>();
    private final List<Tenant> tenants = new ArrayList<>();
    private double overQuotaWorth = 1;
    private Limits limits = new Limits(3, true, false, 0, 100);
    private Rules rules = new Rules(500_000, 0, 0.25, 30_000_000, 2, 1_000_000);
    private Prices prices = new Prices(0, 0);
    private int copies = 1;
    private int copy;
    private int tier;
    private int tiers = 1;
    private int zone;
    private boolean watch;
    private long tickUs = 1_000;

    /** Adds a class of requests; requests refer to it by its index, from 0. */
    public SettingsBuilder requestClass(RequestClass added) {
        classes.add(added);
        return this;
    }

    /** Adds a tenant; requests refer to it by its index, from 0. Default: none. */
    public SettingsBuilder tenant(Tenant added) {
        tenants.add(added);
        return this;
    }

    /**
     * Sets the fraction of the worth that is left for a request over its tenant's quota, 0 to 1.
     * Default: 1; quotas then have no effect.
     */
    public SettingsBuilder overQuotaWorth(double fraction) {
        overQuotaWorth = fraction;
        return this;
    }

    /**
     * Sets the limits of the deployment. Default: 3 attempts, attempts may be cancelled, no probes,
     * no retry advice, 100 requests per connection.
     */
    public SettingsBuilder limits(Limits given) {
        limits = given;
        return this;
    }

    /**
     * Sets the parameters for draining and cold servers. Default: a drain grace of 0.5 s; a server
     * starts with a quarter of its capacity, is cold for 30 s, and fails above twice its capacity.
     */
    public SettingsBuilder rules(Rules given) {
        rules = given;
        return this;
    }

    /** Sets the prices of probes and of crossing zones. Default: both are free. */
    public SettingsBuilder prices(Prices given) {
        prices = given;
        return this;
    }

    /**
     * Sets the number of instances that send to the same tier, and the index of this instance, from
     * 0. Default: one instance, index 0.
     */
    public SettingsBuilder copies(int count, int index) {
        copies = count;
        copy = index;
        return this;
    }

    /**
     * Sets the index of the tier that this instance sends to, from 0, and the number of tiers.
     * Default: tier 0 of one tier.
     */
    public SettingsBuilder tier(int index, int count) {
        tier = index;
        tiers = count;
        return this;
    }

    /** Sets the zone of this instance. Default: 0. */
    public SettingsBuilder zone(int index) {
        zone = index;
        return this;
    }

    /**
     * Sets whether this instance must ask discovery for changes. Default: false, as discovery
     * pushes changes by default.
     */
    public SettingsBuilder watch(boolean required) {
        watch = required;
        return this;
    }

    /** Sets the shortest time between two events of this instance. Default: 1000 microseconds. */
    public SettingsBuilder tickUs(long us) {
        tickUs = us;
        return this;
    }

    /** Returns the settings without validating them. */
    public Settings build() {
        return new Settings(
                List.copyOf(classes),
                List.copyOf(tenants),
                limits,
                rules,
                prices,
                copies,
                copy,
                tier,
                tiers,
                zone,
                watch,
                overQuotaWorth,
                tickUs);
    }
}
