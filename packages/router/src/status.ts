/** The status that a router reports to operators. */
import * as core from '@oleanderrock/core';
import * as v from 'valibot';
import * as configuration from './configuration.js';
import * as drain from './drain.js';
import * as fleet from './fleet.js';
import * as chatMemory from './chatmemory.js';
import * as pools from './pools.js';
import * as admissionQueues from './admissionqueues.js';

/** Schema of an owned endpoint's status. */
export const endpointStatusSchema = v.object({
  name: v.string(),
  owner: v.string(),
  in_flight: v.number(),
  is_ejected: v.boolean(),
  is_settled: v.boolean(),
  is_leaving: v.boolean(),
});

/** Schema of a router's status. */
export const routerStatusSchema = v.object({
  name: v.string(),
  next_offset: v.number(),
  is_draining: v.boolean(),
  is_current: v.boolean(),
  chats: v.number(),
  queued: v.number(),
  in_flight: v.number(),
  endpoints: v.array(endpointStatusSchema),
});

/** A router's status. */
export type RouterStatus = v.InferOutput<typeof routerStatusSchema>;

/** Source of this router's status. */
export interface Status {
  describe(): RouterStatus;
}

/** The contract under which the status is registered. */
export const STATUS = core.contract<Status>('status', ['describe']);

/** Status assembled from the other services. */
export class LocalStatus implements Status {
  constructor(private readonly kernel: core.Kernel) {}

  describe(): RouterStatus {
    const {kernel} = this;
    const fleetView = kernel.find(fleet.FLEET);
    const config = kernel.find(configuration.CONFIGURATION);
    return {
      name: fleetView.self(),
      next_offset: config.nextOffset(),
      is_draining: kernel.find(drain.DRAIN).isDraining(),
      is_current: config.isCurrent(),
      chats: kernel.find(chatMemory.CHAT_MEMORY).size,
      queued: kernel.find(admissionQueues.ADMISSION_QUEUES).countWaiting(),
      in_flight: kernel.find(drain.DRAIN).inFlight(),
      endpoints: fleetView
        .endpoints()
        .filter(item => fleetView.owners(item.name)[0] === fleetView.self())
        .map(item => this.endpointStatus(item.name)),
    };
  }

  private endpointStatus(
    name: string,
  ): v.InferOutput<typeof endpointStatusSchema> {
    const nowMs = this.kernel.find(core.CLOCK).nowMs();
    const fleetView = this.kernel.find(fleet.FLEET);
    const ejection = this.kernel.find(fleet.EJECTION);
    return {
      name,
      owner: fleetView.self(),
      in_flight: this.kernel.find(pools.LOADS).inFlight(name, nowMs),
      is_ejected: ejection.isEjected(name, nowMs),
      is_settled: ejection.isSettled(name, nowMs),
      is_leaving: fleetView.isLeaving(name),
    };
  }
}
