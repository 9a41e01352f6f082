/**
 * Catches up from other routers with what their digests show that this router
 * lacks. Newer tables and other state are fetched by a task each, since tables
 * must be in force soon while a state may take long over a busy link.
 */
import * as core from '@oleanderrock/core';
import type * as fleetRegistry from './fleetregistry.js';
import type * as model from './model.js';
import * as stateCatchUp from './statecatchup.js';
import * as tablesCatchUp from './tablescatchup.js';

/** Fetches newer state from other routers. */
export interface CatchUp {
  /** Handles the status in another router's digest. */
  onDigest(router: model.Router, status: fleetRegistry.RouterStatus): void;
}

/** The contract under which the catch-up is registered. */
export const CATCH_UP = core.contract<CatchUp>('catch-up', ['onDigest']);

/** Catches up with tables and state at the same time. */
export class FleetCatchUp implements CatchUp, core.Lifecycle {
  private readonly state: stateCatchUp.StateCatchUp;
  private readonly tables: tablesCatchUp.TablesCatchUp;

  constructor(kernel: core.Kernel) {
    this.state = new stateCatchUp.StateCatchUp(kernel);
    this.tables = new tablesCatchUp.TablesCatchUp(kernel, address =>
      this.state.requestFrom(address),
    );
  }

  onDigest(router: model.Router, status: fleetRegistry.RouterStatus): void {
    this.tables.compareVersions(router, status.version);
    this.state.compareFingerprints(router.address, status);
  }

  async start(): Promise<void> {
    await this.tables.start();
    await this.state.start();
  }

  async stop(): Promise<void> {
    await Promise.all([this.tables.stop(), this.state.stop()]);
  }
}
