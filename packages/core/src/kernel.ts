/**
 * The micro-kernel: a registry in which services find each other by name.
 *
 * A contract binds a service's name to its interface. The kernel checks each
 * service against the contract's schema at registration, starts services in
 * the order of registration and stops them in reverse order. It does not
 * depend on what the services do.
 */
import * as v from 'valibot';

/** Optional lifecycle hooks of a service; the kernel calls each once. */
export interface Lifecycle {
  /** Resolves when services registered later can use this one. */
  start?(): Promise<void>;
  /** Resolves when the service has released its tasks, sockets and timers. */
  stop?(): Promise<void>;
}

/** Name of a service and the schema that its implementations must match. */
export interface Contract<T extends object> {
  readonly name: string;
  readonly schema: v.GenericSchema<T>;
}

function hasMethods(value: unknown, methods: readonly string[]): boolean {
  if (typeof value !== 'object' || value === null) return false;
  const members = value as Record<string, unknown>;
  return methods.every(method => typeof members[method] === 'function');
}

/**
 * Creates the contract of the interface `T`.
 * @param methods the methods whose presence is checked at registration
 */
export function contract<T extends object>(
  name: string,
  methods: ReadonlyArray<keyof T & string>,
): Contract<T> {
  const schema = v.custom<T>(
    value => hasMethods(value, methods),
    `service ${name} must have the methods: ${methods.join(', ')}`,
  );
  return {name, schema};
}

/** Registry of named services that starts and stops them in order. */
export class Kernel {
  private readonly services = new Map<string, object>();
  private readonly startedServices: Lifecycle[] = [];

  /**
   * Registers a service. Throws if the name is already registered or a method
   * of the contract is missing.
   */
  register<T extends object>(serviceContract: Contract<T>, service: T): void {
    if (this.services.has(serviceContract.name)) {
      throw new Error(`service ${serviceContract.name} is already registered`);
    }
    this.services.set(
      serviceContract.name,
      v.parse(serviceContract.schema, service),
    );
  }

  /** Finds a service by its contract. Throws if none is registered. */
  find<T extends object>(serviceContract: Contract<T>): T {
    const service = this.services.get(serviceContract.name);
    if (!service) throw new Error(`no service named ${serviceContract.name}`);
    return service as T;
  }

  /** Names of all services, in the order of registration. */
  names(): string[] {
    return [...this.services.keys()];
  }

  /** Starts all services in order; if one fails, stops those before it. */
  async start(): Promise<void> {
    for (const service of this.services.values()) {
      const lifecycle = service as Lifecycle;
      try {
        await lifecycle.start?.();
      } catch (error) {
        await this.stop();
        throw error;
      }
      this.startedServices.push(lifecycle);
    }
  }

  /** Stops the started services in reverse order of their start. */
  async stop(): Promise<void> {
    for (;;) {
      const lifecycle = this.startedServices.pop();
      if (!lifecycle) return;
      await lifecycle.stop?.();
    }
  }
}
