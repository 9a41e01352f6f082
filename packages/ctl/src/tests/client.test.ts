/** Tests of the administration client with routers that break off responses. */
import * as net from 'node:net';
import * as chai from 'chai';
import * as v from 'valibot';
import * as client from '../client.js';

const {expect} = chai;

const HOST = '127.0.0.1';
const CALLS_AT_ONCE = 20;

const schema = v.object({revision: v.number()});

describe('a response of a router to the administration client', () => {
  const servers: net.Server[] = [];

  afterEach(() => {
    for (const server of servers.splice(0)) server.close();
  });

  /** Starts a router that responds without a length; returns its address. */
  async function startRouter(revision: number, ending: 'fin' | 'reset') {
    const server = net.createServer({allowHalfOpen: true}, socket => {
      socket.on('error', () => undefined);
      socket.on('data', () => {
        const body = JSON.stringify({revision});
        socket.write(`HTTP/1.1 200 OK\r\n\r\n${body}`);
        if (ending === 'fin') socket.end();
        else socket.resetAndDestroy();
      });
    });
    servers.push(server);
    await new Promise<void>(resolve => server.listen(0, HOST, resolve));
    return {host: HOST, port: (server.address() as net.AddressInfo).port};
  }

  it('is asked of the next router if a reset broke it off', async () => {
    const admin = new client.AdminClient({
      addresses: [await startRouter(1, 'reset'), await startRouter(2, 'fin')],
      token: 'token',
      operator: 'operator',
    });
    const results = await Promise.all(
      Array.from({length: CALLS_AT_ONCE}, () =>
        admin.call(schema, {path: '/tables'}),
      ),
    );
    const revisions = results.map(result =>
      result.ok ? result.value.revision : undefined,
    );
    expect(revisions).to.deep.equal(Array(CALLS_AT_ONCE).fill(2));
  });
});
