/**
 * The micro-kernel: a registry in which services find each other by name.
 *
 * A contract joins a service's name to its interface. The kernel checks each
 * service against the contract's schema when it is registered, starts services
 * in the order of registration and stops them in the reverse order. It knows
 * nothing of what the services do.
 */
import * as v from 'valibot';

/** Hooks that a service may have; the kernel calls them once each. */
export interface Lifecycle {
  /** Resolves when the service is ready to be used by later ones. */
  start?(): Promise<void>;
  /** Resolves when the service holds no more tasks, sockets or timers. */
  stop?(): Promise<void>;
}

/** A service's name, with the schema that its implementations must meet. */
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
 * Makes the contract of the interface `T`.
 * @param methods the methods whose presence is checked at registration
 */
export function contract<T extends object>(
  name: string,
  methods: ReadonlyArray<keyof T & string>,
): Contract<T> {
  const schema = v.custom<T>(
    value => hasMethods(value, methods),
    `service ${name} lacks one of: ${methods.join(', ')}`,
  );
  return {name, schema};
}

/** Registry of named services, with their ordered start and stop. */
export class Kernel {
  private readonly services = new Map<string, object>();
  private readonly started: Lifecycle[] = [];

  /** Adds a service. Throws where the name is taken or a method is missing. */
  register<T extends object>(key: Contract<T>, service: T): void {
    if (this.services.has(key.name)) {
      throw new Error(`service ${key.name} is registered twice`);
    }
    this.services.set(key.name, v.parse(key.schema, service));
  }

  /** Finds a service by its contract. Throws where none is registered. */
  find<T extends object>(key: Contract<T>): T {
    const service = this.services.get(key.name);
    if (!service) throw new Error(`no service is registered as ${key.name}`);
    return service as T;
  }

  /** The names of all services, in the order of registration. */
  names(): string[] {
    return [...this.services.keys()];
  }

  /** Starts all services in order; where one fails, stops those before it. */
  async start(): Promise<void> {
    for (const service of this.services.values()) {
      const lifecycle = service as Lifecycle;
      try {
        await lifecycle.start?.();
      } catch (error) {
        await this.stop();
        throw error;
      }
      this.started.push(lifecycle);
    }
  }

  /** Stops the started services, the last one first. */
  async stop(): Promise<void> {
    for (;;) {
      const lifecycle = this.started.pop();
      if (!lifecycle) return;
      await lifecycle.stop?.();
    }
  }
}
