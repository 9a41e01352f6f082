/** Names of the HTTP headers that callers, routers and endpoints exchange. */

/** The customer on whose behalf a caller asks. */
export const CUSTOMER = 'oleander-customer';
/** The chat that the request continues. */
export const CHAT = 'oleander-chat';
/** Key of a call that may not be repeated: a UUID version 7. */
export const IDEMPOTENCY_KEY = 'idempotency-key';
/** Id of the request, on every hop and on the answer. */
export const REQUEST_ID = 'oleander-request-id';
/** Name of the operator who edits, for the audit. */
export const OPERATOR = 'oleander-operator';
/** The endpoint that answered. */
export const ENDPOINT = 'oleander-endpoint';
/** Why the request went there. */
export const REASON = 'oleander-reason';
/** How many routers have passed the request on. */
export const HOPS = 'oleander-hops';
/** The endpoint that the passing router chose. */
export const TARGET = 'oleander-target';
/** The endpoint that last served the chat, as the passing router knows it. */
export const LAST = 'oleander-last';
/** The claim attempt under which the request may be dispatched. */
export const ATTEMPT = 'oleander-attempt';
/** An endpoint's word that it did not run the request: `no`. */
export const RAN = 'oleander-ran';
/** An endpoint's word that it is leaving: `leaving`. */
export const STATE = 'oleander-state';
/** Tokens that the answer cost, as an endpoint reports them. */
export const TOKENS = 'oleander-tokens';
/** Tokens of the prompt that an engine found in its cache. */
export const CACHED_TOKENS = 'oleander-cached-tokens';
