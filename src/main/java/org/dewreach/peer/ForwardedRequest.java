package org.dewreach.peer;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A user's request as a follower forwards it to the leader: undecoded, as the leader may be of a
 * later version that knows more requests.
 *
 * @param method the HTTP method
 * @param path the path
 * @param body the decoded body, or null
 */
public record ForwardedRequest(String method, String path, JsonNode body) {}
