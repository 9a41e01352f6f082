/** HTTP header names used between callers, routers and endpoints. */

/** Customer on whose behalf the caller sends the request. */
export const CUSTOMER = 'oleander-customer';
/** Id of the chat that the request continues. */
export const CHAT = 'oleander-chat';
/** Idempotency key of a call that may not be repeated: a UUID version 7. */
export const IDEMPOTENCY_KEY = 'idempotency-key';
/** Request id, sent on every hop and in the response. */
export const REQUEST_ID = 'oleander-request-id';
/** Name of the operator who edits the configuration, for the audit log. */
export const OPERATOR = 'oleander-operator';
/** Name of the endpoint that answered. */
export const ENDPOINT = 'oleander-endpoint';
/** Why the routers chose that endpoint. */
export const REASON = 'oleander-reason';
/** Number of routers that have forwarded the request. */
export const HOPS = 'oleander-hops';
/** Endpoint chosen by the router that forwards the request. */
export const TARGET_ENDPOINT = 'oleander-target';
/** Endpoint that last served the chat, according to the forwarding router. */
export const LAST_ENDPOINT = 'oleander-last';
/** Id of the claim attempt under which the request may be dispatched. */
export const CLAIM_ATTEMPT = 'oleander-attempt';
/** Set to `no` by an endpoint that did not run the request. */
export const EXECUTED = 'oleander-ran';
/** Set to `leaving` by an endpoint that is shutting down. */
export const ENDPOINT_STATE = 'oleander-state';
/** Number of tokens used for the answer, as reported by the endpoint. */
export const TOKENS = 'oleander-tokens';
/** Number of prompt tokens that the engine found in its cache. */
export const CACHED_TOKENS = 'oleander-cached-tokens';
