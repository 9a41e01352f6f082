/** The tRPC procedures that routers call on each other. */
import * as core from '@oleanderrock/core';
import * as trpc from '@trpc/server';
import * as v from 'valibot';
import * as configuration from './configuration.js';
import * as drain from './drain.js';
import * as chatMemory from './chatmemory.js';
import * as status from './status.js';
import * as requestTraces from './requesttraces.js';
import * as usage from './usage.js';

const MAX_HAND_OVER_CHATS = 2_000;
const MAX_USAGE_ROWS = 1_000;

/** Context that every procedure receives. */
export interface PeerContext {
  readonly kernel: core.Kernel;
}

/** A router's status, for operators. */
export type RouterStatus = status.RouterStatus;

const chatsSchema = v.pipe(
  v.array(v.object({chat: v.string(), endpoint: v.string()})),
  v.maxLength(MAX_HAND_OVER_CHATS),
);

const limitSchema = v.pipe(
  v.number(),
  v.integer(),
  v.minValue(0),
  v.maxValue(MAX_USAGE_ROWS),
);

const t = trpc.initTRPC.context<PeerContext>().create();

/** The procedures; clients infer their types from this router. */
export const peerRouter = t.router({
  snapshot: t.procedure.query(({ctx}) => {
    const config = ctx.kernel.find(configuration.CONFIGURATION);
    if (config.isCurrent()) return config.snapshot();
    throw new trpc.TRPCError({code: 'PRECONDITION_FAILED'});
  }),
  steps: t.procedure
    .input(v.string())
    .query(({ctx, input}) =>
      ctx.kernel.find(requestTraces.REQUEST_TRACES).find(input),
    ),
  handOver: t.procedure.input(chatsSchema).mutation(({ctx, input}) => {
    const memory = ctx.kernel.find(chatMemory.CHAT_MEMORY);
    for (const entry of input) memory.remember(entry);
    return input.length;
  }),
  usage: t.procedure
    .input(limitSchema)
    .query(({ctx, input}) => ctx.kernel.find(usage.USAGE).totals(input)),
  drain: t.procedure.mutation(({ctx}) =>
    ctx.kernel.find(drain.DRAIN).requestShutdown(),
  ),
  status: t.procedure.query(({ctx}) =>
    ctx.kernel.find(status.STATUS).describe(),
  ),
});

/** Type from which clients infer the procedures. */
export type PeerRouter = typeof peerRouter;
