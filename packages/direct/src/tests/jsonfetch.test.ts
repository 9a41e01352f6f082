/** Tests of fetches of JSON over a real connection. */
import * as http from 'node:http';
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as chai from 'chai';
import * as jsonFetch from '../jsonfetch.js';

const {expect} = chai;

const HOST = '127.0.0.1';

describe('a fetch of JSON', () => {
  let server: http.Server;
  let serve: (response: http.ServerResponse) => Promise<void>;

  beforeEach(async () => {
    server = http.createServer((request, response) => void serve(response));
    await new Promise<void>(resolve => {
      server.listen({host: HOST, port: 0}, resolve);
    });
  });

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  function fetchJson(): Promise<jsonFetch.FetchResult> {
    const {port} = server.address() as net.AddressInfo;
    const {signal} = new AbortController();
    return jsonFetch.fetchJson({address: HOST, port, path: '/', signal});
  }

  it('goes on as long as the body arrives steadily over a slow link', async () => {
    const text = JSON.stringify('x'.repeat(400_000));
    serve = async response => {
      response.writeHead(200, {'content-length': text.length});
      // 400 KB in 1.6 s, as when a link of 10 Mbit/s is shared by five.
      const chunkBytes = Math.ceil(text.length / 16);
      for (let sent = 0; sent < text.length; sent += chunkBytes) {
        response.write(text.slice(sent, sent + chunkBytes));
        await timers.setTimeout(100);
      }
      response.end();
    };
    expect((await fetchJson()).type).to.equal('json');
  });

  it('fails if the connection is reset in the middle of the body', async () => {
    const text = JSON.stringify('x'.repeat(1_000));
    serve = async response => {
      response.writeHead(200, {'content-length': text.length});
      response.write(text.slice(0, 500));
      await timers.setTimeout(20);
      response.socket!.resetAndDestroy();
    };
    expect((await fetchJson()).type).to.equal('failed');
  });

  it('fails if the connection ends in the middle of a body without a length', async () => {
    serve = async response => {
      const {socket} = response;
      socket!.write('HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{"a":');
      await timers.setTimeout(20);
      socket!.end();
    };
    expect((await fetchJson()).type).to.equal('failed');
  });
});
