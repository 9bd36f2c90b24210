/** Reads configuration and other files in TOML and reports errors in them. */
package passhatch.agent.config;
