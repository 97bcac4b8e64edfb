#include "statuspage.h"

namespace mimosahollow::admin {

namespace {

constexpr std::string_view page = R"html(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>mimosahollow</title>
<style>
body{font:14px/1.4 sans-serif;margin:1.5rem;color:#222}h1{font-size:1.2rem}h2{font-size:1rem;margin-top:1.2rem}
table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:.2rem .6rem;text-align:left}th{background:#eee}
.bad{color:#b00}.good{color:#060}
</style></head><body>
<h1>mimosahollow <span id="instance"></span></h1>
<p><label>Operator key <input id="key" type="password" autocomplete="off"></label> <button id="load">Show</button> <span id="message"></span></p>
<div id="content"></div>
<script>
const cell=(row,value,kind)=>{const td=document.createElement(kind||'td');td.textContent=value===undefined?'':String(value);
 if(value===true)td.className='good';if(value===false)td.className='bad';row.appendChild(td);};
function table(title,columns,rows){const h=document.createElement('h2');h.textContent=title;const t=document.createElement('table');
 const head=t.insertRow();columns.forEach(c=>cell(head,c,'th'));
 rows.forEach(r=>{const row=t.insertRow();columns.forEach(c=>cell(row,r[c]));});
 if(!rows.length){const row=t.insertRow();cell(row,'none');}
 document.getElementById('content').append(h,t);}
async function load(){const message=document.getElementById('message');
 const answer=await fetch('/admin/v1/status',{headers:{Authorization:'Bearer '+document.getElementById('key').value}});
 if(!answer.ok){message.textContent='error '+answer.status;return;}
 const s=await answer.json();message.textContent='';document.getElementById('content').textContent='';
 document.getElementById('instance').textContent=s.instance;
 table('Control state',['leader','configuration_version','log_index','fresh','relay','upstream'],[s.control]);
 table('Failure domains',['name','share','out'],s.domains);
 table('Instances',['name','failure_domain','alive','leader'],s.instances);
 table('Pools',['failure_domain','kind','owner','fencing','in_service','free_slots','waiting'],s.serving.pools||[]);
 table('Backend servers of pools owned here',['name','announced','in_service','running','limit','adapters','adapter_slots'],
  (s.serving.pools||[]).flatMap(p=>p.servers||[]));
 table('Organisations',['name','rate','burst','weight'],s.organisations);}
document.getElementById('load').onclick=load;
</script></body></html>
)html";

} // namespace

std::string_view statusPage() noexcept
{
    return page;
}

} // namespace mimosahollow::admin
