/**
 * Decides whether an event may follow those before it in a caller's stream,
 * whichever endpoints sent them. Ids rise on the platform. Only whole numbers
 * can be compared: an id that is none has no order, and any event may have it.
 */

/** What is odd about the place of an event. */
export type OrderFault =
  /** Its id isn't higher than one before it: a piece comes twice, or two runs mix. */
  | 'back'
  /**
   * Its id is higher by more than one, after ids that rose by one each. A piece
   * may be missing; the platform promises only that ids rise.
   */
  | 'gap';

/** An event at an odd place. */
export interface OddEvent {
  readonly fault: OrderFault;
  readonly lastId: number;
  readonly foundId: number;
}

/** Numbers of more digits aren't exact. */
const WHOLE_NUMBER = /^\d{1,15}$/;

/** The order of the events of one caller's stream. */
export class EventOrder {
  private lastId: number | undefined;
  private risesByOne = true;

  /** @param callerLastId id after which the caller goes on with its stream */
  constructor(callerLastId?: string) {
    this.lastId = wholeNumberOf(callerLastId ?? '');
  }

  /** Adds the id of the next event; an event that goes back isn't added. */
  add(idText: string): OddEvent | undefined {
    const foundId = wholeNumberOf(idText);
    if (foundId === undefined) return undefined;
    const {lastId} = this;
    if (lastId === undefined || foundId === lastId + 1) {
      this.lastId = foundId;
      return undefined;
    }
    if (foundId <= lastId) return {fault: 'back', lastId, foundId};
    this.lastId = foundId;
    if (!this.risesByOne) return undefined;
    this.risesByOne = false;
    return {fault: 'gap', lastId, foundId};
  }
}

function wholeNumberOf(text: string): number | undefined {
  return WHOLE_NUMBER.test(text) ? Number(text) : undefined;
}
