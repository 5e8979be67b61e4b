package spokestall.configuration.feed;

import spokestall.configuration.ConfigurationStore;
import spokestall.consensus.Proposer;
import spokestall.discovery.EndpointRegistry;

/**
 * The state that a {@link FeedClient} keeps up to date on this node.
 *
 * @param configurationStore the applied configuration
 * @param endpointRegistry the endpoints and health observations
 * @param proposer holds the voter set and reads versions whose proposals are unfinished
 */
public record FeedReplica(
        ConfigurationStore configurationStore, EndpointRegistry endpointRegistry, Proposer proposer) {}
