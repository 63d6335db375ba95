package org.dewreach.peer;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A user's request as a follower forwards it to the leader: undecoded, because the leader may run a
 * later version that supports more requests.
 *
 * @param method the HTTP method
 * @param path the HTTP path
 * @param body the decoded body, or null
 */
public record ForwardedRequest(String method, String path, JsonNode body) {}
