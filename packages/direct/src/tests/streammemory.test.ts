/**
 * Guards against a gap in a stream: events that came with the beginning of one
 * for which there is no memory count as passed on, so the caller must have them.
 */
import * as stream from 'node:stream';
import * as chai from 'chai';
import * as core from '@oleanderrock/core';
import * as direct from '../index.js';
import * as responseDelivery from '../responsedelivery.js';
import * as quietCaller from './quietcaller.js';

const {expect} = chai;

/** More than an unfinished event may take without being counted, in bytes. */
const LARGE_BYTES = 20_000;

class RecordingCaller extends quietCaller.QuietCallerResponse {
  text = '';

  override write(chunk?: Buffer): undefined {
    this.text += chunk?.toString() ?? '';
  }
}

function createKernel(): core.Kernel {
  const kernel = new core.Kernel();
  const stub = (service: object) => service as never;
  kernel.register(
    direct.WIRE_PROTOCOL,
    stub(new Proxy({}, {get: () => () => ({})})),
  );
  kernel.register(
    direct.STREAM_VERSIONS,
    stub({recordBegun: () => undefined, findStart: () => undefined}),
  );
  kernel.register(
    direct.STREAM_RECORDER,
    stub({recordOddEvent: () => undefined, recordEnd: () => undefined}),
  );
  kernel.register(
    direct.LIVENESS,
    stub({check: () => Promise.resolve('alive')}),
  );
  return kernel;
}

describe('a stream without memory for its next event', () => {
  it('has passed on the events up to the one after which it goes on', async () => {
    const caller = new RecordingCaller();
    caller.memory.hold = () => false;
    const request = {
      head: {requestId: 'r'},
      route: {repeat: 'stream', isResumable: true},
    } as unknown as direct.RoutedRequest;
    const delivery = new responseDelivery.ResponseDelivery(
      createKernel(),
      request,
      caller,
    );
    const whole = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';
    const begun = `id: 3\ndata: ${'x'.repeat(LARGE_BYTES)}`;
    const response = Object.assign(
      stream.Readable.from([Buffer.from(whole + begun)]),
      {headers: {}, complete: false},
    );
    const incoming = {
      response,
      status: 200,
      recordActivity: () => undefined,
      recordBegun: () => undefined,
      release: () => undefined,
      abortCause: () => undefined,
    } as unknown as direct.EndpointResponse;
    const result = await delivery.deliver(
      incoming,
      {id: 'e1'} as direct.Endpoint,
      false,
    );
    expect(result).to.include({type: 'broken'});
    expect(delivery.lastEventId).to.equal('2');
    expect(caller.text).to.equal(whole);
  });
});
