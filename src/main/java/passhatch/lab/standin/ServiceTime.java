package passhatch.lab.standin;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ContinuousUniformSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * Distribution of the time that a backend takes to execute a request.
 *
 * @param distribution type of the distribution
 * @param meanUs mean in microseconds
 * @param sigma standard deviation of the logarithm, for {@code LOGNORMAL} only
 */
public record ServiceTime(Distribution distribution, double meanUs, double sigma) {

    /** Supported types of distributions. */
    public enum Distribution {
        CONSTANT,
        EXPONENTIAL,
        LOGNORMAL,
        UNIFORM
    }

    /** Returns a sampler of this distribution, in microseconds. */
    ContinuousSampler sampler(UniformRandomProvider random) {
        return switch (distribution) {
            case CONSTANT -> () -> meanUs;
            case EXPONENTIAL -> ZigguratSampler.Exponential.of(random, meanUs);
            case UNIFORM -> ContinuousUniformSampler.of(random, 0, 2 * meanUs);
            // The mean of a log-normal value is exp(mu + sigma^2 / 2).
            case LOGNORMAL ->
                    LogNormalSampler.of(
                            ZigguratSampler.NormalizedGaussian.of(random),
                            Math.log(meanUs) - sigma * sigma / 2,
                            sigma);
        };
    }
}
