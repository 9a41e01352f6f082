/**
 * An engine in trouble, as a process of its own: it answers with interim heads
 * without end, until the channel closes or the trouble is over.
 */
import * as http from 'node:http';

const [id] = process.argv.slice(2);

let isInTrouble = false;

/** Bytes that channels of requests have taken, and those still in buffers. */
let sentBytes = 0;

process.on('message', message => {
  isInTrouble = message === 'begin';
  if (message === 'recover') process.send({sentBytes});
});

const HEADS = Buffer.from('HTTP/1.1 102 Processing\r\n\r\n'.repeat(2_500));

async function pour(socket) {
  const closed = new Promise(resolve => socket.once('close', resolve));
  socket.on('error', () => undefined);
  while (isInTrouble && !socket.destroyed) {
    const isWritable = socket.write(HEADS);
    sentBytes += HEADS.length;
    const next = new Promise(resolve => {
      if (isWritable) setImmediate(resolve);
      else socket.once('drain', resolve);
    });
    await Promise.race([next, closed]);
  }
  socket.destroy();
}

function answer(id, response) {
  const headers = {'attempt-id': id, 'response-seal': `seal.${id}`};
  response.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
  response.end('id: 1\ndata: piece 1\n\n');
}

const server = http.createServer((request, response) => {
  if (request.headers['expect-instance'] !== id) {
    response.writeHead(421, {'instance-id': id}).end();
    return;
  }
  const attempt = request.headers['attempt-id'];
  process.send({ran: attempt});
  if (isInTrouble) void pour(response.socket);
  else answer(attempt, response);
});
server.listen(0, '127.0.0.1', () => {
  process.send({port: server.address().port});
});
process.on('disconnect', () => process.exit(0));
