package spokestall.configuration.feed;

import spokestall.configuration.ConfigurationStore;
import spokestall.consensus.Proposer;
import spokestall.discovery.EndpointRegistry;

/** This node's replica of what the feed carries; the proposer holds the voter set and reads versions left unfinished. */
public record FeedReplica(
        ConfigurationStore configurationStore, EndpointRegistry endpointRegistry, Proposer proposer) {}
