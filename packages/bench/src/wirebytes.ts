/** Bytes of one HTTP exchange on the connection, heads included. */
import * as events from 'node:events';
import * as http from 'node:http';

/** Asks for a page and counts the bytes sent and received. */
export async function exchange(address: string): Promise<number> {
  const request = http.get(address, {agent: false});
  const arrival = await events.EventEmitter.once(request, 'response');
  const response = arrival[0] as http.IncomingMessage;
  const {socket} = response;
  response.resume();
  await events.EventEmitter.once(response, 'end');
  return socket.bytesRead + socket.bytesWritten;
}
